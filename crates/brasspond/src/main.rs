//! `brasspond`: one program with all tools as subcommands, so that an operator installs one file.
#![forbid(unsafe_code)]

mod check;
mod client;
mod cluster_process;
mod demo;
mod digest;
mod emulate;
mod exit;
mod experiment;
mod explain;
mod fuzz;
mod logging;
mod node;
mod options;
mod runtime;

use crate::exit::Outcome;
use crate::options::{Command, command_line};
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match command_line().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            let is_help = failure.exit_code() == 0;
            return if is_help {
                Outcome::Success
            } else {
                Outcome::Usage
            }
            .into();
        }
    };
    let outcome = match command {
        Command::Node(options) => node::run(&options),
        Command::Edge(options) | Command::Storage(options) => cluster_process::run(&options),
        Command::Explain(options) => explain::run(&options),
        Command::CheckProcess(options) => cluster_process::check(&options),
        Command::Check(options) => check::run(&options),
        Command::Get(options) => client::get(&options),
        Command::Apply(options) => client::apply(&options),
        Command::Watch(options) => client::watch(&options),
        Command::Emulate(options) => emulate::run(options),
        Command::Demo(options) => demo::run(&options),
        Command::Fuzz(options) => fuzz::run(&options),
        Command::Experiment { .. } => experiment::run(),
        Command::Digest => digest::run(),
    };
    outcome.into()
}

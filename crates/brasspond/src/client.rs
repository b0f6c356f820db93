//! `brasspond get`, `apply` and `watch`: thin clients of the resource API.

use crate::exit::Outcome;
use crate::options::{ApplyOptions, ClientOptions, Form, GetOptions, WatchOptions};
use crate::runtime::single_threaded;
use brasspond_http::{Client, read_json, request};
use brasspond_resource::{API_VERSION, Kind, Object, object_to_json, parse_manifests};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::time::Duration;

/// Longest answer that is read, in bytes. Not measured.
const LONGEST_ANSWER: usize = 64 * 1024 * 1024;
/// Time for an answer, that of a held watch included. Not measured.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Why a command failed.
enum Problem {
    /// The command line, a file or the request is invalid.
    Usage(Vec<String>),
    /// It failed while running.
    Failed(String),
}

impl Problem {
    /// Writes the problem to standard error; returns the program's outcome.
    fn report(self) -> Outcome {
        match self {
            Self::Usage(lines) => {
                for line in lines {
                    eprintln!("{line}");
                }
                Outcome::Usage
            }
            Self::Failed(line) => {
                eprintln!("{line}");
                Outcome::Failed
            }
        }
    }
}

/// Calls to one node under one token.
struct Session<'a> {
    options: &'a ClientOptions,
    client: Client,
    bearer: HeaderValue,
}

/// Reads the token, and runs a command's work with a session.
fn with_session<'a, F>(options: &'a ClientOptions, work: impl FnOnce(Session<'a>) -> F) -> Outcome
where
    F: Future<Output = Result<(), Problem>>,
{
    let token = match std::fs::read_to_string(&options.token_file) {
        Ok(token) => token,
        Err(error) => {
            eprintln!("{}: {error}", options.token_file.display());
            return Outcome::Usage;
        }
    };
    let Ok(bearer) = HeaderValue::from_str(&format!("Bearer {}", token.trim())) else {
        eprintln!("{}: not a token", options.token_file.display());
        return Outcome::Usage;
    };
    let runtime = match single_threaded() {
        Ok(runtime) => runtime,
        Err(outcome) => return outcome,
    };
    let result = runtime.block_on(async {
        let client = Client::default();
        work(Session {
            options,
            client,
            bearer,
        })
        .await
    });
    match result {
        Ok(()) => Outcome::Fine,
        Err(problem) => problem.report(),
    }
}

impl Session<'_> {
    /// Makes a call; an answer that is no success becomes a problem.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Problem> {
        let path = format!("/apis/{API_VERSION}/{path}");
        let mut request = request(method, self.options.server, &path, body);
        request
            .headers_mut()
            .insert(AUTHORIZATION, self.bearer.clone());
        let exchange = async {
            let response = self.client.send(request).await;
            let response = response.map_err(|error| Problem::Failed(error.to_string()))?;
            let status = response.status();
            let body: Result<Value, _> = read_json(response.into_body(), LONGEST_ANSWER).await;
            let body = body.map_err(|error| Problem::Failed(error.to_string()))?;
            Ok((status, body))
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        let (status, body) =
            answer.map_err(|_| Problem::Failed("no answer in time".to_owned()))??;
        if status.is_success() {
            Ok(body)
        } else {
            Err(refused(status, &body))
        }
    }

    /// Prints an answer in the form that was asked for. A value of JSON can always be written.
    fn show(&self, value: &Value) {
        match self.options.output {
            Form::Json => println!(
                "{}",
                serde_json::to_string_pretty(value).unwrap_or_default()
            ),
            Form::Yaml => print!("{}", serde_norway::to_string(value).unwrap_or_default()),
            Form::Table => {
                let items = value["items"].as_array().cloned();
                for item in items.unwrap_or_else(|| vec![value.clone()]) {
                    println!("{}", row(&item));
                }
            }
        }
    }
}

/// The problem that a node's refusal is.
fn refused(status: StatusCode, body: &Value) -> Problem {
    let error = &body["error"];
    let message = error["message"].as_str().unwrap_or("refused").to_owned();
    let mut lines = vec![format!(
        "{status}: {message} (run: {})",
        error["run"].as_str().unwrap_or("?")
    )];
    let findings = error["findings"].as_array().into_iter().flatten();
    lines.extend(findings.filter_map(Value::as_str).map(str::to_owned));
    if status.is_client_error() && status != StatusCode::CONFLICT {
        return Problem::Usage(lines);
    }
    Problem::Failed(lines.join("\n"))
}

/// A line of a table: kind, name, version, conditions, share.
fn row(item: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
    let conditions = item["status"]["conditions"]
        .as_array()
        .into_iter()
        .flatten();
    let conditions: Vec<String> = conditions
        .map(|condition| {
            format!(
                "{}={}",
                text(&condition["type"]),
                text(&condition["status"])
            )
        })
        .collect();
    let mut columns = vec![
        format!("{:<16}", text(&item["kind"])),
        format!("{:<24}", text(&item["metadata"]["name"])),
        format!("{:>8}", text(&item["metadata"]["resourceVersion"])),
        conditions.join(" "),
    ];
    if let Some(received) = item["status"]["share"]["received"].as_f64() {
        let declared = item["status"]["share"]["declared"].as_f64().unwrap_or(0.0);
        columns.push(format!("share {received:.3} of {declared:.3}"));
    }
    columns.join("  ").trim_end().to_owned()
}

/// The kind of resource that a word names.
fn kind_of(word: &str) -> Result<Kind, Problem> {
    let names: Vec<&str> = Kind::ALL.iter().map(|kind| kind.plural()).collect();
    let message = format!("no kind {word}; allowed: {}", names.join(", "));
    Kind::find(word).ok_or_else(|| Problem::Usage(vec![message]))
}

/// Shows resources.
pub(crate) fn get(options: &GetOptions) -> Outcome {
    with_session(&options.client_options, |session| async move {
        let kind = kind_of(&options.kind)?;
        let path = match &options.name {
            Some(name) => format!("{}/{name}", kind.plural()),
            None => kind.plural().to_owned(),
        };
        session.show(&session.call(Method::GET, &path, None).await?);
        Ok(())
    })
}

/// Writes resources.
pub(crate) fn apply(options: &ApplyOptions) -> Outcome {
    let mut objects = Vec::new();
    let mut findings = Vec::new();
    for file in &options.files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Err(error) => findings.push(format!("{name}: {error}")),
            Ok(text) => match parse_manifests(&name, &text) {
                Ok(found) => objects.extend(found),
                Err(found) => findings.extend(found.iter().map(ToString::to_string)),
            },
        }
    }
    if !findings.is_empty() {
        return Problem::Usage(findings).report();
    }
    with_session(&options.client_options, |session| async move {
        for object in &objects {
            apply_one(&session, object, options.dry_run).await?;
        }
        Ok(())
    })
}

/// Writes one resource. A manifest without a version replaces the version that is there now, so
/// that a concurrent write is refused and not overwritten.
async fn apply_one(session: &Session<'_>, object: &Object, dry_run: bool) -> Result<(), Problem> {
    let key = object.key();
    let mut body = object_to_json(object);
    let has_version = object.metadata.resource_version.0 > 0;
    if !has_version {
        let current = session.call(Method::GET, &key.to_string(), None).await;
        body["metadata"]["resourceVersion"] = match current {
            Ok(current) => current["metadata"]["resourceVersion"].clone(),
            Err(Problem::Usage(_)) => Value::String("0".to_owned()),
            Err(problem) => return Err(problem),
        };
    }
    let query = if dry_run { "?dryRun=All" } else { "" };
    let answer = session
        .call(Method::PUT, &format!("{key}{query}"), Some(&body))
        .await?;
    let revision = answer["resourceVersion"].as_str().unwrap_or("-");
    let verb = if dry_run { "valid" } else { "accepted" };
    println!("{key} {verb} resourceVersion={revision}");
    Ok(())
}

/// Shows resources as they change.
pub(crate) fn watch(options: &WatchOptions) -> Outcome {
    with_session(&options.client_options, |session| async move {
        let kind = kind_of(&options.kind)?;
        let mut from = "0".to_owned();
        let mut left = options.changes.unwrap_or(u64::MAX);
        while left > 0 {
            let path = format!("{}?watch=true&resourceVersion={from}", kind.plural());
            let answer = session.call(Method::GET, &path, None).await?;
            for item in answer["items"].as_array().into_iter().flatten() {
                session.show(item);
                left = left.saturating_sub(1);
            }
            from = answer["metadata"]["resourceVersion"]
                .as_str()
                .unwrap_or(&from)
                .to_owned();
        }
        Ok(())
    })
}

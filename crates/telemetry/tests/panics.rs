//! Guards against a process that ends by a panic of which its log says nothing.

use brasspond_telemetry::{LogLimits, log_panics, start};
use log::LevelFilter;
use rstest::rstest;
use std::io::Write;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

struct Lines(Sender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn a_panic_is_one_line_of_the_log() {
    let (written, lines) = channel();
    let ring = start(LevelFilter::Info, LogLimits::default(), Lines(written)).expect("starts");
    log_panics(&ring);
    let panicked = std::thread::spawn(|| panic!("no \"quotes\"\nand no second line")).join();
    assert!(panicked.is_err());
    let line = lines
        .recv_timeout(Duration::from_secs(20))
        .expect("a line is written");
    let line = String::from_utf8(line).expect("text");
    assert!(line.starts_with("[ERROR] event=panicked place="), "{line}");
    assert!(line.contains("panics.rs:"), "{line}");
    assert_eq!(line.matches('\n').count(), 1, "{line}");
}

//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client that
//! opens a connection for each call.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Word of the first line: for a request its method, path and version.
    pub fn word(&self, number: usize) -> &str {
        self.line.split(' ').nth(number).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_string())
}

/// Reads a message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head is cut"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| broken("a header"))?;
        message
            .headers
            .push((name.trim().to_string(), value.trim().to_string()));
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = line.trim_end().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("a chunk"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                break;
            }
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections in threads, until `stopped` is set and one more connection has come. The
/// handler writes the answer; an error closes the connection.
pub fn serve<F>(listener: TcpListener, stopped: Arc<AtomicBool>, handle: F)
where
    F: Fn(Message, &mut TcpStream) -> Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if handle(request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes a call on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("connection: close\r\n\r\n");
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| broken("closed without an answer"))
}

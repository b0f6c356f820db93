//! Asks a process for the members of the log, on a temporary connection.

use crate::link::read_message;
use crate::socket::set_options;
use brasspond_cluster_protocol::{Answer, FrameBuffer, Message, Peer, Question, encode};
use brasspond_consensus::Member;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Timeout of the whole exchange: connecting to a process and reading its answer.
pub(crate) const MEMBERS_ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Asks a process for the members of the log. Returns `None` if the process does not answer in time
/// or knows no members; the caller then asks another process.
pub(crate) async fn ask_members(address: SocketAddr) -> Option<Vec<Member>> {
    let asked = tokio::time::timeout(MEMBERS_ANSWER_TIMEOUT, exchange(address));
    asked.await.ok()?
}

async fn exchange(address: SocketAddr) -> Option<Vec<Member>> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    set_options(&stream);
    let hello = Peer::Edge {
        machine: String::new(),
        zone: String::new(),
        incarnation: 0,
        region: None,
        features: 0,
    };
    stream
        .write_all(&encode(&Message::Hello(hello)))
        .await
        .ok()?;
    let ask = Message::Ask {
        number: 1,
        question: Question::Members,
    };
    stream.write_all(&encode(&ask)).await.ok()?;
    let (mut reader, _writer) = stream.into_split();
    let mut buffer = FrameBuffer::default();
    loop {
        if let Message::Reply {
            answer: Answer::Members(members),
            ..
        } = read_message(&mut reader, &mut buffer).await.ok()?
        {
            return (!members.is_empty()).then_some(members);
        }
    }
}

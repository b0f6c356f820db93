//! Questions to the leader or to the nearest storage process, with retries.
//!
//! Every question may safely be asked again.

use super::leader_contact::Leader;
use super::process::Edge;
use crate::clock::{Moment, within};
use crate::link::Writer;
use brasspond_cluster_protocol::{Answer, EncodedSubmission, Message, MessageKind, Question};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;
use tokio::sync::watch;

/// Timeout of the leader's answer, in addition to the wait that the question requests. After the
/// timeout the question is asked again.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of the answer of the nearest storage process (the reader), in addition to the wait that
/// the question requests. After the timeout the leader is asked.
const READER_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the answers of all connected storage processes. A read that none of them can answer is
/// refused after it.
const MEMBER_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a reader is not asked after it did not answer, in ms.
const READER_PAUSE_MS: u64 = 2_000;
/// Pause before the leader is asked again. A change of the leader ends it early.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A question that can be sent on a link.
pub(super) trait Ask {
    /// Queues the question with its number; returns false if it was not queued.
    fn send(&self, number: u64, writer: &Writer) -> bool;
}

impl Ask for Question {
    fn send(&self, number: u64, writer: &Writer) -> bool {
        writer.send(&Message::Ask {
            number,
            question: self.clone(),
        })
    }
}

impl Ask for EncodedSubmission {
    fn send(&self, number: u64, writer: &Writer) -> bool {
        let parts = self.question_parts(number);
        parts.is_ok_and(|parts| writer.send_parts(MessageKind::Question, parts))
    }
}

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskError {
    /// No leader accepted the question, so it had no effect.
    NotAsked,
    /// A leader may have processed the question.
    Uncertain,
}

/// Maximum wait for a leader; `None` if the deadline has passed or no leader has been known for too
/// long.
///
/// `left` is the time until the question's deadline, `leaderless_ms` the time without a leader so
/// far, and `leaderless_limit_ms` the maximum time without a leader for this question.
fn leader_wait(left: Duration, leaderless_ms: u64, leaderless_limit_ms: u64) -> Option<Duration> {
    let limit = Duration::from_millis(leaderless_limit_ms.saturating_sub(leaderless_ms));
    (!left.is_zero() && !limit.is_zero()).then(|| left.min(limit))
}

/// Why the nearest storage process (the reader) returned no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderError {
    /// There is no link to a reader other than the leader, or the reader is paused.
    NotAsked,
    /// The reader may not answer, since it may lack results.
    NotCurrent,
    /// The reader gave no answer in time, or its link broke.
    NoAnswer,
}

impl ReaderError {
    /// Name for logs.
    fn name(self) -> &'static str {
        match self {
            Self::NotAsked => "not_asked",
            Self::NotCurrent => "not_current",
            Self::NoAnswer => "no_answer",
        }
    }
}

impl Edge {
    /// Asks the nearest storage process for results and, if that does not answer, the leader.
    ///
    /// # Errors
    /// See [`Edge::ask`].
    pub(super) async fn ask_results(
        &self,
        question: Question,
        wait: Duration,
        deadline: Moment,
        leaderless_limit_ms: u64,
    ) -> Result<Answer, AskError> {
        let reader_error = match self.ask_reader(&question, wait).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if self.storage.borrow().contact.leader().is_none()
            && let Some(answer) = self.ask_members(&question, deadline).await
        {
            return Ok(answer);
        }
        let answer = self.ask(&question, wait, deadline, leaderless_limit_ms);
        answer.await.inspect_err(|error| {
            let now = self.clock.now();
            log::info!(
                "event=results_unavailable reader={} leader={error:?} leaderless_ms={}",
                reader_error.name(),
                self.storage.borrow_mut().contact.measure_leaderless(now)
            );
        })
    }

    /// Asks the nearest storage process.
    ///
    /// # Errors
    /// The leader must be asked.
    async fn ask_reader(&self, question: &Question, wait: Duration) -> Result<Answer, ReaderError> {
        let now = self.clock.now();
        let asked = {
            let mut storage = self.storage.borrow_mut();
            let reader = storage.reader(now).ok_or(ReaderError::NotAsked)?;
            storage
                .ask(reader.link, &reader.writer, question)
                .ok_or(ReaderError::NotAsked)?
        };
        match within(wait + READER_ANSWER_TIMEOUT, asked).await {
            Ok(Ok(answer @ Answer::Page(Some(_)))) => Ok(answer),
            Ok(Ok(_)) => Err(ReaderError::NotCurrent),
            Ok(Err(_)) | Err(_) => {
                let until = self.clock.now() + READER_PAUSE_MS;
                self.storage.borrow_mut().pause_reader(until);
                Err(ReaderError::NoAnswer)
            }
        }
    }

    /// Asks all connected storage processes for results and returns the first page. Results in the log
    /// can be read there while there is no leader. They are asked together, since some may be silent.
    async fn ask_members(&self, question: &Question, deadline: Moment) -> Option<Answer> {
        let left = deadline.saturating_duration_since(Moment::now());
        let limit = left.min(MEMBER_ANSWER_TIMEOUT);
        let members = self.storage.borrow().linked_members();
        let asked = members.into_iter().filter_map(|member| {
            let mut storage = self.storage.borrow_mut();
            storage.ask(member.link, &member.writer, question)
        });
        let mut answers: FuturesUnordered<_> = asked.map(|one| within(limit, one)).collect();
        while let Some(answer) = answers.next().await {
            if let Ok(Ok(answer @ Answer::Page(Some(_)))) = answer {
                return Some(answer);
            }
        }
        None
    }

    /// Asks the leader and retries until `deadline`, or until no leader has been known for
    /// `leaderless_limit_ms`. `wait` is the additional time of a long poll.
    ///
    /// # Errors
    /// [`AskError::Uncertain`] if a leader may have processed the question, else
    /// [`AskError::NotAsked`].
    pub(super) async fn ask(
        &self,
        question: &impl Ask,
        wait: Duration,
        deadline: Moment,
        leaderless_limit_ms: u64,
    ) -> Result<Answer, AskError> {
        let mut leaders = self.storage.borrow().contact.watch_leader();
        let mut failure = AskError::NotAsked;
        loop {
            let left = deadline.saturating_duration_since(Moment::now());
            if left.is_zero() {
                return Err(failure);
            }
            let leader = leaders.borrow_and_update().clone();
            let Some(leader) = leader else {
                let leaderless_ms = self
                    .storage
                    .borrow_mut()
                    .contact
                    .measure_leaderless(self.clock.now());
                let Some(limit) = leader_wait(left, leaderless_ms, leaderless_limit_ms) else {
                    return Err(failure);
                };
                await_change(&mut leaders, limit).await;
                continue;
            };
            let limit = left.min(LEADER_ANSWER_TIMEOUT + wait);
            match self.ask_once(&leader, question, limit).await {
                Some(Answer::NotLeader(_)) => {}
                Some(Answer::Unknown) | None => failure = AskError::Uncertain,
                Some(answer) => return Ok(answer),
            }
            await_change(&mut leaders, LEADER_RETRY_PAUSE.min(left)).await;
        }
    }

    /// Asks the leader once. Returns `None` if there is no answer although the leader may have
    /// processed the question.
    async fn ask_once(
        &self,
        leader: &Leader,
        question: &impl Ask,
        limit: Duration,
    ) -> Option<Answer> {
        let asked = {
            let mut storage = self.storage.borrow_mut();
            storage.ask(leader.link, &leader.writer, question)
        };
        let Some(answer) = asked else {
            // The link's queue rejected the question.
            return Some(Answer::NotLeader(None));
        };
        match within(limit, answer).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

/// Waits for a change of the leader, at most for `limit`.
async fn await_change<T>(leaders: &mut watch::Receiver<T>, limit: Duration) {
    // After a timeout the caller checks the leader and the deadline again.
    let _ = within(limit, leaders.changed()).await;
}

#[cfg(test)]
#[path = "../../tests/unit/questions.rs"]
mod tests;

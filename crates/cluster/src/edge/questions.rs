//! Questions to storage processes: to the leader, or to the reader near by.
//!
//! Every question may be asked again. This module says when that is done and when it is given up;
//! it owns no state. Relies on [`super::storage_links`] for links and for the leader.

use super::leader_contact::Leader;
use super::process::Edge;
use crate::clock::{Moment, within};
use brasspond_cluster_protocol::{Answer, Question};
use std::time::Duration;
use tokio::sync::watch;

/// Longest time for the leader's answer, beside the wait that the question itself asks for; then
/// it is asked again. Not measured.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest time for the reader's answer, beside the wait that the question itself asks for; then
/// the leader is asked. Not measured.
const READER_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a reader that did not answer is not asked, in ms. Not measured.
const READER_PAUSE_MS: u64 = 2_000;
/// Pause before the leader is asked again; another leader ends it. Not measured.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskError {
    /// No leader accepted it: nothing was done.
    NotAsked,
    /// A leader may have done it.
    Uncertain,
}

/// Longest wait for a leader to become known. None: the question is given up, its time is over
/// or no leader has been known for too long.
///
/// `left` is the time until the question's deadline, `leaderless_ms` for how long no leader has
/// been known, `leaderless_limit_ms` how long its asker bears that.
fn leader_wait(left: Duration, leaderless_ms: u64, leaderless_limit_ms: u64) -> Option<Duration> {
    let limit = Duration::from_millis(leaderless_limit_ms.saturating_sub(leaderless_ms));
    (!left.is_zero() && !limit.is_zero()).then(|| left.min(limit))
}

impl Edge {
    /// Asks for results: the reader near by if it may answer, else the leader.
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
        if let Some(answer) = self.ask_reader(&question, wait).await {
            return Ok(answer);
        }
        self.ask(question, wait, deadline, leaderless_limit_ms)
            .await
    }

    /// The answer of the storage process near by; none: the leader must be asked.
    async fn ask_reader(&self, question: &Question, wait: Duration) -> Option<Answer> {
        let now = self.clock.now();
        let asked = {
            let mut storage = self.storage.borrow_mut();
            let reader = storage.reader(now)?;
            storage.ask(reader.link, &reader.writer, question.clone())?
        };
        match within(wait + READER_ANSWER_TIMEOUT, asked).await {
            Ok(Ok(answer @ Answer::Page(Some(_)))) => Some(answer),
            Ok(Ok(_)) => None,
            Ok(Err(_)) | Err(_) => {
                let until = self.clock.now() + READER_PAUSE_MS;
                self.storage.borrow_mut().pause_reader(until);
                None
            }
        }
    }

    /// Asks the leader, and again until `deadline`. Gives up once no leader was known for
    /// `leaderless_limit_ms`. The answer may come `wait` later, as for a long poll.
    ///
    /// # Errors
    /// Whether a leader may have done what was asked.
    pub(super) async fn ask(
        &self,
        question: Question,
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
                    .leaderless_for(self.clock.now());
                let Some(limit) = leader_wait(left, leaderless_ms, leaderless_limit_ms) else {
                    return Err(failure);
                };
                await_change(&mut leaders, limit).await;
                continue;
            };
            let limit = left.min(LEADER_ANSWER_TIMEOUT + wait);
            match self.ask_once(&leader, question.clone(), limit).await {
                Some(Answer::NotLeader(_)) => {}
                Some(Answer::Unknown) | None => failure = AskError::Uncertain,
                Some(answer) => return Ok(answer),
            }
            await_change(&mut leaders, LEADER_RETRY_PAUSE.min(left)).await;
        }
    }

    /// Asks the leader once. None: it may have done it, but no answer came.
    async fn ask_once(
        &self,
        leader: &Leader,
        question: Question,
        limit: Duration,
    ) -> Option<Answer> {
        let asked = {
            let mut storage = self.storage.borrow_mut();
            storage.ask(leader.link, &leader.writer, question)
        };
        let Some(answer) = asked else {
            // Its queue did not take the question.
            return Some(Answer::NotLeader(None));
        };
        match within(limit, answer).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

/// Waits until another leader is known, or none is, for `limit` at the longest.
async fn await_change<T>(leaders: &mut watch::Receiver<T>, limit: Duration) {
    // The caller checks the leader and the time again either way.
    let _ = within(limit, leaders.changed()).await;
}

#[cfg(test)]
#[path = "../../tests/unit/questions.rs"]
mod tests;

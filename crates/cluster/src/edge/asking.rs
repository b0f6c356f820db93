//! Questions to storage processes: to the leader, or to a member near by, and the
//! search for any of them.

use super::process::Edge;
use crate::clock::{Moment, within};
use crate::platform::RegistryError;
use brasspond_cluster_protocol::{Answer, Question};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Time for an answer before the question is asked again.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Time for the storage process near by to answer a read, beside its wait.
const READER_TIME: Duration = Duration::from_millis(300);
/// Time in which it is not asked again after it did not answer, in ms.
const READER_PAUSE: u64 = 2_000;
/// Pause before a question that found no leader is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two searches for storage processes; it grows.
const SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two searches.
const LONGEST_SEARCH_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a search that found the group's record, whose members are then connected
/// to: they are seldom others so soon.
const FOUND_PAUSE: Duration = Duration::from_millis(2_500);
/// Searches with the seeds alone where the whole system starts for the first time:
/// only the seeds themselves read the group's record then, not every edge of a fleet.
const SEED_SEARCHES: u32 = 4;

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskError {
    /// No leader took it: nothing was done.
    NotAsked,
    /// A leader may have done it.
    Unknown,
}

impl Edge {
    /// Asks for results, near by if that may answer, else the leader.
    pub(super) async fn ask_results(
        &self,
        question: Question,
        wait: Duration,
        deadline: Moment,
        patience: u64,
    ) -> Result<Answer, AskError> {
        if let Some(answer) = self.ask_reader(&question, wait).await {
            return Ok(answer);
        }
        self.ask(question, wait, deadline, patience).await
    }

    /// The answer of the storage process near by; none: the leader must be asked.
    async fn ask_reader(&self, question: &Question, wait: Duration) -> Option<Answer> {
        let now = self.clock.now();
        if now < self.reader_paused_until.get() {
            return None;
        }
        let asked = {
            let mut cluster = self.cluster.borrow_mut();
            let reader = cluster.reader()?;
            cluster.ask(reader.link, &reader.writer, question.clone())?
        };
        match within(wait + READER_TIME, asked).await {
            Ok(Ok(answer @ Answer::Page(Some(_)))) => Some(answer),
            Ok(Ok(_)) => None,
            Ok(Err(_)) | Err(_) => {
                self.reader_paused_until
                    .set(self.clock.now() + READER_PAUSE);
                None
            }
        }
    }

    /// Asks the leader, and again while there is time: every question may be
    /// asked twice. Gives up once no leader was known for `patience` ms.
    pub(super) async fn ask(
        &self,
        question: Question,
        wait: Duration,
        deadline: Moment,
        patience: u64,
    ) -> Result<Answer, AskError> {
        let mut leaders = self.cluster.borrow().watch_leader();
        let mut failure = AskError::NotAsked;
        loop {
            let left = deadline.saturating_duration_since(Moment::now());
            if left.is_zero() {
                return Err(failure);
            }
            let leader = leaders.borrow_and_update().clone();
            let Some(leader) = leader else {
                let alone = self.cluster.borrow_mut().leaderless_for(self.clock.now());
                let patience = Duration::from_millis(patience.saturating_sub(alone));
                if patience.is_zero() {
                    return Err(failure);
                }
                // A timeout is noticed by the next look at how long it has been.
                let _ = within(left.min(patience), leaders.changed()).await;
                continue;
            };
            let asked =
                self.cluster
                    .borrow_mut()
                    .ask(leader.link, &leader.writer, question.clone());
            let answer = match asked {
                Some(receiver) => {
                    let limit = left.min(ANSWER_TIME + wait);
                    within(limit, receiver).await
                }
                None => Ok(Ok(Answer::NotLeader(None))),
            };
            match answer {
                Ok(Ok(Answer::NotLeader(_))) => {}
                Ok(Ok(Answer::Unknown)) | Ok(Err(_)) | Err(_) => failure = AskError::Unknown,
                Ok(Ok(answer)) => return Ok(answer),
            }
            let pause = ASK_PAUSE.min(left);
            let _ = within(pause, leaders.changed()).await;
        }
    }
}

/// Looks for storage processes until some are known: in the group's record,
/// then with the seeds.
pub(super) async fn find_members(edge: Rc<Edge>) {
    let process = &edge.settings.process;
    let is_seed = process.seeds.contains(&process.cluster_address);
    let asks_seeds_first = process.may_bootstrap && !is_seed;
    let mut seed_searches = if asks_seeds_first { SEED_SEARCHES } else { 0 };
    let mut pause = SEARCH_PAUSE;
    loop {
        let mut found = false;
        if edge.cluster.borrow().leader().is_some() {
            pause = SEARCH_PAUSE;
        } else {
            if seed_searches == 0 {
                found = read_record(&edge).await;
            }
            seed_searches = seed_searches.saturating_sub(1);
            ask_seeds(&edge).await;
        }
        if found {
            let leaders = edge.cluster.borrow().watch_leader();
            await_known(leaders, FOUND_PAUSE).await;
        } else {
            tokio::time::sleep(pause).await;
        }
        pause = (pause + SEARCH_PAUSE / 2).min(LONGEST_SEARCH_PAUSE);
    }
}

/// Waits until a leader is known, for `limit` at the longest. A leader that is known ends the
/// pause, so that one which is lost again soon is looked for at once: without that jobs were
/// turned away for 1.6 s after the next one was elected (logs of 2 of 60 runs of a process
/// test).
async fn await_known<T>(mut leaders: watch::Receiver<Option<T>>, limit: Duration) {
    let known = leaders.wait_for(Option::is_some);
    // Either way the caller looks again.
    let _ = within(limit, known).await;
}

/// Connects to the members that the group's record names; says whether it does.
async fn read_record(edge: &Rc<Edge>) -> bool {
    match edge.platform.registry.read().await {
        Ok(Some(record)) => {
            let mut cluster = edge.cluster.borrow_mut();
            for member in &record.members {
                cluster.dial_to(member.address);
            }
            true
        }
        // Not made yet: the search goes on.
        Ok(None) => false,
        // Told once, by whoever read it.
        Err(RegistryError::Unreadable(_)) => false,
        Err(error) => {
            log::info!("event=record_unread error={error:?}");
            false
        }
    }
}

async fn ask_seeds(edge: &Rc<Edge>) {
    for seed in &edge.settings.process.seeds {
        if *seed == edge.settings.process.cluster_address {
            continue;
        }
        if let Some(members) = crate::link::ask_members(*seed).await {
            let known = edge.cluster.borrow().known_peers();
            let mut cluster = edge.cluster.borrow_mut();
            for member in members {
                if !known.contains(&member.address) {
                    cluster.dial_to(member.address);
                }
            }
            return;
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/asking.rs"]
mod tests;

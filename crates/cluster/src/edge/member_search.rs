//! The search for storage processes while no leader is known: with those that this edge has links
//! to, in the group's record, then with the seeds.
//!
//! Owns the pause between two searches. Relies on the platform's registry for the record.

use super::process::Edge;
use crate::clock::within;
use crate::member_question::{MEMBERS_ANSWER_TIMEOUT, ask_members};
use crate::platform::RegistryError;
use brasspond_cluster_protocol::Answer;
use brasspond_consensus::Member;
use futures::future::join_all;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Pause between two searches; it grows by half of this with each that finds nothing. Not
/// measured.
const SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two searches. Not measured.
const LONGEST_SEARCH_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a search that found the group's record, whose members are then connected
/// to: they seldom change so soon. Not measured.
const FOUND_PAUSE: Duration = Duration::from_millis(2_500);
/// Searches with the seeds alone where the whole system starts for the first time:
/// only the seeds themselves read the group's record then, not every edge of a fleet.
const SEED_SEARCHES: u32 = 4;

/// Searches for storage processes whenever no leader is known, for as long as the edge runs.
pub(super) async fn find_members(edge: Rc<Edge>) {
    let process = &edge.settings.process;
    let is_seed = process.seeds.contains(&process.cluster_address);
    let asks_seeds_first = process.may_bootstrap && !is_seed;
    let mut seed_searches = if asks_seeds_first { SEED_SEARCHES } else { 0 };
    let mut pause = SEARCH_PAUSE;
    loop {
        let mut found = false;
        if edge.storage.borrow().contact.leader().is_some() {
            pause = SEARCH_PAUSE;
        } else {
            ask_linked(&edge).await;
            if seed_searches == 0 {
                found = read_record(&edge).await;
            }
            seed_searches = seed_searches.saturating_sub(1);
            ask_seeds(&edge).await;
        }
        if found {
            let leaders = edge.storage.borrow().contact.watch_leader();
            await_known(leaders, FOUND_PAUSE).await;
        } else {
            tokio::time::sleep(pause).await;
        }
        pause = longer_pause(pause);
    }
}

/// The pause after the next search.
fn longer_pause(pause: Duration) -> Duration {
    (pause + SEARCH_PAUSE / 2).min(LONGEST_SEARCH_PAUSE)
}

/// Waits until a leader is known, for `limit` at the longest. A leader that is known ends the
/// pause, so that one that is lost again soon is searched for at once.
async fn await_known<T>(mut leaders: watch::Receiver<Option<T>>, limit: Duration) {
    let known = leaders.wait_for(Option::is_some);
    // The caller checks for a leader either way.
    let _ = within(limit, known).await;
}

/// Connects to the members that the group's record names; says whether it does.
async fn read_record(edge: &Rc<Edge>) -> bool {
    match edge.platform.registry.read().await {
        Ok(Some(record)) => {
            let mut storage = edge.storage.borrow_mut();
            for member in &record.members {
                storage.dial_to(member.address);
            }
            true
        }
        // Not written yet: the search goes on.
        Ok(None) => false,
        // Logged once, by the registry that read it.
        Err(RegistryError::Unreadable(_)) => false,
        Err(error) => {
            log::info!("event=record_unread error={error:?}");
            false
        }
    }
}

/// Asks the storage processes behind this edge's links for the members. One that lives knows those
/// that joined after the last announcement which this edge heard, and the next leader may be one of
/// them; while the store is down nobody else may know it.
async fn ask_linked(edge: &Rc<Edge>) {
    let asked = edge.storage.borrow_mut().ask_for_members();
    let answers = asked
        .into_iter()
        .map(|answer| within(MEMBERS_ANSWER_TIMEOUT, answer));
    for answer in join_all(answers).await {
        if let Ok(Ok(Answer::Members(members))) = answer {
            dial_unknown(edge, members);
        }
    }
}

/// Asks the seeds in turn for the members, until one names a process that is not known here: an
/// edge among them may know no more than this one.
async fn ask_seeds(edge: &Rc<Edge>) {
    for seed in &edge.settings.process.seeds {
        if *seed == edge.settings.process.cluster_address {
            continue;
        }
        if let Some(members) = ask_members(*seed).await
            && dial_unknown(edge, members)
        {
            return;
        }
    }
}

/// Connects to those members that this edge has no link to; whether there are any.
fn dial_unknown(edge: &Rc<Edge>, members: Vec<Member>) -> bool {
    let known = edge.storage.borrow().known_peers();
    let mut storage = edge.storage.borrow_mut();
    let mut found = false;
    for member in members {
        if !known.contains(&member.address) {
            found |= storage.dial_to(member.address);
        }
    }
    found
}

#[cfg(test)]
#[path = "../../tests/unit/member_search.rs"]
mod tests;

//! Discovers storage processes while no leader is known: asks connected processes, reads the group
//! record in the platform's registry, then asks the seeds.

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

/// Initial pause between two searches. It grows by half of this after each search.
const SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause between two searches.
const MAX_SEARCH_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a search that found the group record, to give time to connect to its members.
const RECORD_FOUND_PAUSE: Duration = Duration::from_millis(2_500);
/// Number of searches that skip the group record at the first start of the complete system, so that
/// only seeds read it and not every edge.
const SEED_SEARCHES: u32 = 4;

/// Searches for storage processes whenever no leader is known. Never returns.
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
            ask_connected(&edge).await;
            if seed_searches == 0 {
                found = read_record(&edge).await;
            }
            seed_searches = seed_searches.saturating_sub(1);
            ask_seeds(&edge).await;
        }
        if found {
            let leaders = edge.storage.borrow().contact.watch_leader();
            await_leader(leaders, RECORD_FOUND_PAUSE).await;
        } else {
            tokio::time::sleep(pause).await;
        }
        pause = next_pause(pause);
    }
}

/// The pause that follows `pause`.
fn next_pause(pause: Duration) -> Duration {
    (pause + SEARCH_PAUSE / 2).min(MAX_SEARCH_PAUSE)
}

/// Waits until a leader is known, at most for `limit`.
async fn await_leader<T>(mut leaders: watch::Receiver<Option<T>>, limit: Duration) {
    let known = leaders.wait_for(Option::is_some);
    // After a timeout the caller searches again.
    let _ = within(limit, known).await;
}

/// Connects to the members in the group record. Returns whether there is a record.
async fn read_record(edge: &Rc<Edge>) -> bool {
    match edge.platform.registry.read().await {
        Ok(Some(record)) => {
            let mut storage = edge.storage.borrow_mut();
            for member in &record.members {
                storage.dial_to(member.address);
            }
            true
        }
        // No group record has been written yet.
        Ok(None) => false,
        // The registry has already logged the error.
        Err(RegistryError::Unreadable(_)) => false,
        Err(error) => {
            log::info!("event=record_unread error={error:?}");
            false
        }
    }
}

/// Asks the connected storage processes for the members. They may know members that joined after
/// the last announcement, even while the platform's registry is unreachable.
async fn ask_connected(edge: &Rc<Edge>) {
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

/// Asks the seeds one after another for the members, until one returns an unknown member.
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

/// Connects to the members to which there is no link. Returns whether any connection is new.
fn dial_unknown(edge: &Rc<Edge>, members: Vec<Member>) -> bool {
    let linked = edge.storage.borrow().linked_addresses();
    let mut storage = edge.storage.borrow_mut();
    let mut found = false;
    for member in members {
        if !linked.contains(&member.address) {
            found |= storage.dial_to(member.address);
        }
    }
    found
}

#[cfg(test)]
#[path = "../../tests/unit/member_search.rs"]
mod tests;

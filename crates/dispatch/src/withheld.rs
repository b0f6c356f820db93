//! Items whose content ends the replicas that run it.
//!
//! A caller's request of such a content is turned away; an item cannot be, since its job
//! was taken. It is withheld, run a few times more at a distance, and then stays withheld
//! until the content is cleared, or its time in the queue is over. Other items go on: before
//! this stood, one such item among nine had all nine given up, as each of its runs ended the
//! replica that ran the others too.

use crate::dispatcher::Dispatcher;
use crate::jobs::State;
use brasspond_jobs::JobTable;
use brasspond_quarantine::{Case, Fingerprint, Ledger, QUARANTINED_AFTER};
use brasspond_units::Millis;

/// Pause before a withheld item is run again, in ms. An item that no replica finished is
/// to be at none for less than 5 s, as long as it is run at all.
const RETRY_PAUSE: Millis = 4_000;
/// Replicas that an item may end beyond those after which its content is held.
const MOST_RETRIES: usize = 3;
/// Pause between two looks whether a scoring call may be made, in ms.
pub(crate) const SCORING_PAUSE: Millis = 1_000;

/// Whether an item of a held content may still be run.
fn has_retries(case: &Case) -> bool {
    case.ends() < QUARANTINED_AFTER + MOST_RETRIES
}

impl Dispatcher {
    /// Withholds an item that is about to be started, if its content is held.
    pub(crate) fn withhold(&mut self, id: &str, item: u32, table: &JobTable, now: Millis) -> bool {
        if !table.quarantine().holds_any() {
            return false;
        }
        let Some(content) = item_content(id, item, table) else {
            return false;
        };
        let case = table.quarantine().case(content);
        let Some(case) = case.filter(|case| case.is_quarantined()) else {
            return false;
        };
        let Some(job) = self.jobs.jobs.get_mut(id) else {
            return false;
        };
        let item_run = &mut job.items[item as usize];
        if std::mem::take(&mut item_run.is_retry) {
            return false;
        }
        item_run.state = State::Withheld;
        job.withheld.insert(item, now + RETRY_PAUSE);
        log::info!(
            "event=item_withheld job={id} item={} content={content} ends={} retries={}",
            job.items[item as usize].id,
            case.ends(),
            has_retries(case)
        );
        self.jobs.take_waiting(id, item);
        true
    }

    /// Has items run that were withheld and may be run again.
    pub(crate) fn retry_withheld(&mut self, table: &JobTable, now: Millis) {
        let mut retried = Vec::new();
        for (id, job) in &self.jobs.jobs {
            for (item, from) in &job.withheld {
                let content = item_content(id, *item, table);
                let is_quarantined =
                    content.is_some_and(|content| table.quarantine().is_quarantined(content));
                let may_retry = now >= *from && may_retry(content, table.quarantine());
                if !is_quarantined || may_retry {
                    retried.push((id.clone(), *item, is_quarantined));
                }
            }
        }
        for (id, item, is_quarantined) in retried {
            if let Some(job) = self.jobs.jobs.get_mut(&id) {
                job.withheld.remove(&item);
                job.items[item as usize].is_retry = is_quarantined;
                self.jobs.wait(&id, item);
            }
        }
    }

    /// Whether the call that scores an item's text is held.
    pub(crate) fn is_scoring_held(&self, id: &str, item: u32, table: &JobTable) -> bool {
        if !table.quarantine().holds_any() {
            return false;
        }
        let stored = table.job(id).and_then(|job| job.items.get(item as usize));
        let call = stored.and_then(|stored| stored.scoring.as_ref());
        call.is_some_and(|call| table.quarantine().is_quarantined(call.content()))
    }
}

fn may_retry(content: Option<Fingerprint>, ledger: &Ledger) -> bool {
    let case = content.and_then(|content| ledger.case(content));
    case.is_some_and(has_retries)
}

fn item_content(id: &str, item: u32, table: &JobTable) -> Option<Fingerprint> {
    let job = table.job(id)?;
    let stored = job.items.get(item as usize)?;
    Some(stored.content(&job.host, job.tenant.as_deref()))
}

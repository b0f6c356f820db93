//! Membership changes, one member at a time.

use crate::message::{Member, MemberId, Payload};
use crate::node::Consensus;
use crate::role::{Progress, Role};
use brasspond_units::Millis;

/// Why a membership change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// This member is not the leader, or has committed no entry of its term yet.
    NotEstablished,
    /// An earlier change is not committed yet.
    Pending,
    /// The change does not add or remove exactly one voter, or leaves none.
    NotSingleChange,
}

impl Consensus {
    /// Starts sending the log to a member that is not a voter yet; no effect unless this member is
    /// the leader.
    pub fn add_learner(&mut self, member: Member, now: Millis) {
        let next = self.log.last_index() + 1;
        if let Role::Leader { progress, .. } = &mut self.role {
            progress
                .entry(member.id)
                .or_insert_with(|| Progress::new(next, now));
            self.learners.insert(member.id, member);
        }
    }

    /// Removes a member from the learners and stops sending it the log unless it is a voter.
    pub fn remove_learner(&mut self, id: MemberId) {
        let is_voter = self.members.iter().any(|member| member.id == id);
        self.learners.remove(&id);
        if let Role::Leader { progress, .. } = &mut self.role
            && !is_voter
        {
            progress.remove(&id);
        }
    }

    /// Number of entries that the member `id` is not known to have; `None` if this member does not
    /// send it the log.
    pub fn replication_lag(&self, id: MemberId) -> Option<u64> {
        let peer = self.progress_of(id)?;
        Some(self.log.last_index().saturating_sub(peer.matched))
    }

    /// Checks whether a membership change may be proposed now.
    ///
    /// # Errors
    /// This member is not an established leader, or an earlier change is pending.
    pub fn check_membership_change(&self) -> Result<(), MembershipError> {
        if !self.is_established() {
            return Err(MembershipError::NotEstablished);
        }
        if self.members_index > self.commit {
            return Err(MembershipError::Pending);
        }
        Ok(())
    }

    /// Proposes a list of voters that differs from the current one by one added or removed member.
    /// Returns the index of its entry.
    ///
    /// # Errors
    /// See [`MembershipError`].
    pub fn propose_members(
        &mut self,
        members: Vec<Member>,
        now: Millis,
    ) -> Result<u64, MembershipError> {
        self.check_membership_change()?;
        if members.is_empty() || count_changes(&self.members, &members) != 1 {
            return Err(MembershipError::NotSingleChange);
        }
        let next = self.log.last_index() + 1;
        let index = self.append_as_leader(Payload::Members(members));
        let voters = self.other_voters();
        if let Role::Leader { progress, .. } = &mut self.role {
            for id in &voters {
                progress
                    .entry(*id)
                    .or_insert_with(|| Progress::new(next, now));
            }
            let learners = &self.learners;
            progress.retain(|id, _| voters.contains(id) || learners.contains_key(id));
        }
        Ok(index)
    }
}

/// Number of members that are in only one of the two lists.
fn count_changes(old: &[Member], new: &[Member]) -> usize {
    let has = |list: &[Member], id| list.iter().any(|member| member.id == id);
    let removed = old.iter().filter(|member| !has(new, member.id)).count();
    let added = new.iter().filter(|member| !has(old, member.id)).count();
    removed + added
}

//! Quorum sizes, lost disks, and whether a leader is in contact with a quorum.

use crate::message::MemberId;
use crate::node::Consensus;
use crate::role::Role;
use brasspond_units::Millis;

impl Consensus {
    /// Whether a quorum, this leader included, answered messages sent within the last `window` ms.
    /// Until its first answer, a member counts as having answered the vote request of this leader,
    /// or a message sent when it was added.
    pub fn has_quorum_contact(&self, window: Millis, now: Millis) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let in_contact = self.members.iter().filter(|member| {
            member.id == self.id
                || progress
                    .get(&member.id)
                    .is_some_and(|peer| peer.last_contact + window >= now)
        });
        in_contact.count() >= self.quorum()
    }

    /// Number of voters that must have synced an entry to commit it: a majority, or all voters
    /// whose disks are not known to be lost if they are fewer.
    pub fn quorum(&self) -> usize {
        self.majority().min(self.survivors())
    }

    /// Number of votes needed to elect a leader. An entry that a majority has synced is missing on
    /// at most `members - majority` voters, so any larger set of voters includes one that has it.
    /// More than half of the survivors are needed so that two elections share a voter.
    pub(crate) fn election_quorum(&self) -> usize {
        let overlap = self.members.len() - self.majority() + 1;
        overlap.max(self.survivors() / 2 + 1)
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Number of voters whose disks are not known to be lost.
    fn survivors(&self) -> usize {
        let intact = self
            .members
            .iter()
            .filter(|member| !self.lost.contains(&member.id));
        intact.count()
    }

    /// Records that the disk of another member is lost for good. The caller must be certain: in
    /// groups of an even size, the first lost disk lowers the number of votes that elect a leader.
    /// In all groups, the commit quorum shrinks once fewer than a majority of the disks are left.
    pub fn record_lost_disk(&mut self, id: MemberId) {
        if id != self.id {
            self.lost.insert(id);
        }
    }
}

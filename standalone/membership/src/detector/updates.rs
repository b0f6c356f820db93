//! Updates of a node's view: suspicion, refutation and synchronisation with other members.

use super::{Membership, Output};
use crate::member::{Member, MemberState, Message, Update};
use brasspond_types::{NodeName, Timestamp};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;

impl Membership {
    /// Marks a member that did not acknowledge a probe as suspect.
    pub(super) fn suspect(&mut self, name: &NodeName, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let mut suspected = member.clone();
        suspected.state = MemberState::Suspect;
        let address = suspected.address;
        self.merge(suspected, now, outputs);
        // The suspect is informed at once, so that it has the full timeout to refute the suspicion.
        let mut updates = Vec::new();
        self.append_recipient_state(name, &mut updates);
        let sequence = self.next_sequence();
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(name.clone(), address, ping));
    }

    /// Declares suspects dead after the suspicion timeout, and removes members that have been dead
    /// for the retention time.
    pub(super) fn expire_members(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let mut newly_dead = Vec::new();
        let mut expired = BTreeSet::new();
        for member in self.members.values() {
            let since = self.state_since.get(&member.name).copied();
            let age = now.since(since.unwrap_or(now));
            if member.state == MemberState::Suspect && age >= self.parameters.suspicion_timeout {
                let mut dead = member.clone();
                dead.state = MemberState::Dead;
                newly_dead.push(dead);
            }
            if member.state == MemberState::Dead && age >= self.parameters.dead_retention {
                expired.insert(member.name.clone());
            }
        }
        for dead in newly_dead {
            self.merge(dead, now, outputs);
        }
        for name in expired {
            self.members.remove(&name);
            self.state_since.remove(&name);
        }
    }

    /// Requests an exchange of full lists from a random live member, or from all seeds before the
    /// first synchronisation or if no member is live.
    pub(super) fn start_sync(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let members = self.full_list();
        let live: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.state <= MemberState::Leaving)
            .collect();
        if let Some(peer) = live.choose(&mut self.random).filter(|_| self.synchronised) {
            let jitter = self.random.random_range(0.75..1.25);
            self.next_sync = now + self.parameters.sync_period.mul_f64(jitter);
            let request = Message::SyncRequest { members };
            outputs.push(Output::Send(peer.name.clone(), peer.address, request));
            return;
        }
        self.next_sync = now + self.parameters.probe_period;
        for seed in &self.seeds {
            let members = members.clone();
            let request = Message::SyncRequest { members };
            // The name of a seed may be unknown; the message is sent to the address.
            let name = NodeName::new(seed.to_string());
            outputs.push(Output::Send(name, *seed, request));
        }
    }

    pub(super) fn merge_all(
        &mut self,
        updates: Vec<Update>,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        for update in updates {
            self.merge(update, now, outputs);
        }
    }

    /// Applies an update of one member if it supersedes the known state.
    pub(super) fn merge(&mut self, update: Update, now: Timestamp, outputs: &mut Vec<Output>) {
        if update.name == self.local.name {
            self.refute(&update);
            return;
        }
        match self.members.get(&update.name) {
            Some(known) if !known.is_superseded_by(&update) => return,
            None if update.state == MemberState::Dead => return,
            _ => {}
        }
        let name = update.name.clone();
        let changed = self.members.get(&name).is_none_or(|known| {
            known.state != update.state
                || known.instance != update.instance
                || known.address != update.address
        });
        self.members.insert(name.clone(), update.clone());
        self.broadcasts.push(update);
        if changed {
            self.state_since.insert(name.clone(), now);
            outputs.push(Output::Changed(name));
        }
    }

    /// Raises the local incarnation above that of an update about this node, and announces the
    /// local state. Ignores updates that are older than the local state or equal to it.
    pub(super) fn refute(&mut self, update: &Update) {
        let is_unchanged =
            update.state == self.local.state && update.instance == self.local.instance;
        if update.incarnation < self.local.incarnation {
            return;
        }
        if is_unchanged && update.incarnation == self.local.incarnation {
            return;
        }
        self.local.incarnation = update.incarnation + 1;
        self.broadcasts.push(self.local.clone());
    }
}

//! Probes of members: direct probes, indirect probes and probes of dead members.

use super::{ForwardedProbe, Membership, Output, Probe};
use crate::member::{Member, MemberState, Message};
use brasspond_types::{NodeName, Timestamp};
use rand::seq::{IndexedRandom, SliceRandom};

impl Membership {
    /// Probes the next member directly.
    pub(super) fn start_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let address = member.address;
        let sequence = self.next_sequence();
        let mut updates = self.take_updates();
        self.append_recipient_state(&target, &mut updates);
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(target.clone(), address, ping));
        self.probe = Some(Probe {
            sequence,
            target,
            sent_at: now,
            indirect_sent: false,
        });
    }

    /// Returns the next member to probe. Each round covers all members that are not dead, in random
    /// order.
    pub(super) fn next_probe_target(&mut self) -> Option<NodeName> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.probeable_names();
                self.probe_order.shuffle(&mut self.random);
            }
            let name = self.probe_order.pop()?;
            let member = self.members.get(&name);
            if member.is_some_and(|member| member.state != MemberState::Dead) {
                return Some(name);
            }
        }
    }

    /// Sends indirect probes if the current probe is not acknowledged in time, and suspects the
    /// target if it is not acknowledged by the end of the probe period.
    pub(super) fn check_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let elapsed = now.since(probe.sent_at);
        if elapsed >= self.parameters.probe_period {
            let target = probe.target.clone();
            self.probe = None;
            self.suspect(&target, now, outputs);
            return;
        }
        if elapsed < self.parameters.direct_timeout || probe.indirect_sent {
            return;
        }
        probe.indirect_sent = true;
        let sequence = probe.sequence;
        let target = probe.target.clone();
        self.probe_indirectly(sequence, &target, outputs);
    }

    /// Asks random members to probe the target.
    pub(super) fn probe_indirectly(
        &mut self,
        sequence: u64,
        target: &NodeName,
        outputs: &mut Vec<Output>,
    ) {
        let relays: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.accepts_work() && member.name != *target)
            .collect();
        let chosen = relays.choose_multiple(&mut self.random, self.parameters.indirect_probes);
        for relay in chosen {
            let target = target.clone();
            let request = Message::PingRequest { sequence, target };
            outputs.push(Output::Send(relay.name.clone(), relay.address, request));
        }
    }

    /// Probes a member on behalf of `requester`.
    pub(super) fn forward_probe(
        &mut self,
        requester: &NodeName,
        requester_sequence: u64,
        target: &NodeName,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let Some(address) = self.members.get(target).map(|member| member.address) else {
            return;
        };
        let sequence = self.next_sequence();
        let forwarded = ForwardedProbe {
            requester: requester.clone(),
            requester_sequence,
            expires: now + self.parameters.probe_period,
        };
        self.forwarded.insert(sequence, forwarded);
        let updates = Vec::new();
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(target.clone(), address, ping));
    }

    /// Ends the probe with this sequence number, and forwards the acknowledgement if the probe was
    /// sent on behalf of another member.
    pub(super) fn acknowledge(&mut self, sequence: u64, outputs: &mut Vec<Output>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.probe = None;
        }
        let Some(forwarded) = self.forwarded.remove(&sequence) else {
            return;
        };
        let Some(requester) = self.members.get(&forwarded.requester) else {
            return;
        };
        let ack = Message::Ack {
            sequence: forwarded.requester_sequence,
            updates: Vec::new(),
        };
        outputs.push(Output::Send(requester.name.clone(), requester.address, ack));
    }

    /// Sends a random dead member its own state, so that it can refute the state if it is alive.
    pub(super) fn probe_dead(&mut self, outputs: &mut Vec<Output>) {
        let dead: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Dead)
            .collect();
        let Some(member) = dead.choose(&mut self.random).copied().cloned() else {
            return;
        };
        let sequence = self.next_sequence();
        let updates = vec![member.clone()];
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(member.name, member.address, ping));
    }
}

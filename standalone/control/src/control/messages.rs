//! Dispatch of messages from other nodes to the components.

use super::Control;
use crate::context::Context;
use brasspond_dissemination::{self as dissemination};
use brasspond_membership as membership;
use brasspond_protocol::{AdmissionMessage, Envelope, PeerMessage, Sender};
use brasspond_types::Timestamp;

impl Control {
    pub(super) fn handle_envelope(&mut self, envelope: Envelope, now: Timestamp) {
        let Envelope {
            sender,
            revision,
            message,
            ..
        } = envelope;
        if revision >= self.replica.newest_known() && self.is_other_zone(&sender.node) {
            self.is_confirmed = true;
        }
        let is_other_zone = self.is_other_zone(&sender.node);
        let outputs = self
            .replica
            .observe_revision(&sender.node, revision, is_other_zone, now);
        self.apply_replica_outputs(outputs, now);
        self.handle_peer_message(&sender, message, now);
    }

    pub(super) fn handle_peer_message(
        &mut self,
        sender: &Sender,
        message: PeerMessage,
        now: Timestamp,
    ) {
        match message {
            PeerMessage::Membership(message) => {
                let Some(address) = sender.address else {
                    return;
                };
                let outputs = self.membership.handle(&sender.node, address, message, now);
                self.apply_membership_outputs(outputs, now);
            }
            PeerMessage::Configuration(message) => {
                if let dissemination::Message::RevisionAnswer { known } = &message {
                    self.readiness.record_peer(&sender.node, *known);
                }
                let is_other_zone = self.is_other_zone(&sender.node);
                let outputs = self
                    .replica
                    .handle(&sender.node, message, is_other_zone, now);
                self.apply_replica_outputs(outputs, now);
            }
            PeerMessage::Admission(message) => self.handle_admission(sender, &message, now),
            PeerMessage::Step(message) => with_context!(self, now, |context| {
                self.steps
                    .handle(&sender.node, message, &mut self.versions, context);
            }),
            PeerMessage::Claim(message) => with_context!(self, now, |context| {
                self.claims.handle(sender, message, context);
            }),
            report @ PeerMessage::Report { .. } => self.fleet.handle_report(sender, report, now),
            PeerMessage::Summary(summary) => with_context!(self, now, |context| {
                if let Some(excess) = self.fleet.apply_summary(summary, context) {
                    self.owners.correct_shares(&excess);
                    self.engines.set_pool_load(self.fleet.pool_load());
                }
            }),
        }
    }

    pub(super) fn handle_admission(
        &mut self,
        sender: &Sender,
        message: &AdmissionMessage,
        now: Timestamp,
    ) {
        let is_to_owner = matches!(
            message,
            AdmissionMessage::Enqueue { .. } | AdmissionMessage::Release { .. }
        );
        with_context!(self, now, |context| {
            if is_to_owner {
                self.owners.handle(sender, message, context);
            } else {
                self.generations.handle_admission(
                    message,
                    &mut self.engines,
                    &mut self.owners,
                    context,
                );
            }
        });
    }

    pub(super) fn apply_membership_outputs(
        &mut self,
        outputs: Vec<membership::Output>,
        now: Timestamp,
    ) {
        let mut changed = false;
        for output in outputs {
            match output {
                membership::Output::Send(to, address, message) => {
                    with_context!(self, now, |context| {
                        context.send_to_address(&to, address, PeerMessage::Membership(message));
                    });
                }
                membership::Output::Changed(_) => changed = true,
            }
        }
        if changed {
            self.handle_membership_change(now);
        }
    }
}

//! Forwarding of trainers' requests to the home node of their step.

use super::{FORWARD_RESEND_PERIOD, FORWARD_TIMEOUT, Forwarded, Steps};
use crate::context::Context;
use crate::event::{Reply, RequestId};
use brasspond_protocol::{PeerMessage, StepMessage, StepReply, StepRequest, StepRequestId};
use std::time::Duration;

impl Steps {
    /// Begins a trainer's request and forwards it to the step's home node.
    pub(crate) fn begin(
        &mut self,
        request: RequestId,
        body: StepRequest,
        context: &mut Context<'_>,
    ) {
        let number = self.next_forward;
        self.next_forward += 1;
        let wait = match &body {
            StepRequest::Fetch {
                wait_milliseconds, ..
            } => u64::from(*wait_milliseconds),
            _ => 0,
        };
        let forwarded = Forwarded {
            request,
            body,
            forwarded_at: context.now,
            expires: context.now + FORWARD_TIMEOUT + Duration::from_millis(wait),
        };
        self.forwarded.insert(number, forwarded);
        self.forward(number, context);
    }

    /// Sends a request to the node that is now the step's home.
    pub(super) fn forward(&mut self, number: u64, context: &mut Context<'_>) {
        let Some(forwarded) = self.forwarded.get_mut(&number) else {
            return;
        };
        forwarded.forwarded_at = context.now;
        let home = Self::holders(forwarded.body.step(), context)
            .into_iter()
            .next();
        let id = StepRequestId {
            instance: context.instance,
            number,
        };
        let request = forwarded.body.clone();
        if let Some(home) = home {
            let message = StepMessage::Request { id, request };
            context.send(&home, PeerMessage::Step(message));
        }
    }

    pub(super) fn handle_reply(
        &mut self,
        number: u64,
        reply: StepReply,
        context: &mut Context<'_>,
    ) {
        if let Some(forwarded) = self.forwarded.remove(&number) {
            context.reply(forwarded.request, Reply::Step(reply));
        }
    }

    /// Resends the requests that are due. Requests that expired are answered with `Unknown`.
    pub(super) fn resend_forwarded(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.forwarded.keys().copied().collect();
        for number in numbers {
            let forwarded = &self.forwarded[&number];
            if forwarded.expires <= context.now {
                self.handle_reply(number, StepReply::Unknown, context);
            } else if context.now.since(forwarded.forwarded_at) >= FORWARD_RESEND_PERIOD {
                self.forward(number, context);
            }
        }
    }
}

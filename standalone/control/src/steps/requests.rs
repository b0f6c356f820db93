//! Trainers' requests on their way to the home of their step.

use super::{FORWARD_LIMIT, FORWARD_RESEND, Forwarded, Steps};
use crate::context::Context;
use crate::event::{Reply, RequestId};
use brasspond_protocol::{PeerMessage, StepMessage, StepReply, StepRequest, StepRequestId};
use std::time::Duration;

impl Steps {
    /// A trainer's request came to this node: forward it to the step's home.
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
            sent: context.now,
            until: context.now + FORWARD_LIMIT + Duration::from_millis(wait),
        };
        self.forwarded.insert(number, forwarded);
        self.forward(number, context);
    }

    pub(super) fn forward(&mut self, number: u64, context: &mut Context<'_>) {
        let Some(forwarded) = self.forwarded.get_mut(&number) else {
            return;
        };
        forwarded.sent = context.now;
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

    pub(super) fn replied(&mut self, number: u64, reply: StepReply, context: &mut Context<'_>) {
        if let Some(forwarded) = self.forwarded.remove(&number) {
            context.reply(forwarded.request, Reply::Step(reply));
        }
    }

    pub(super) fn resend_forwarded(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.forwarded.keys().copied().collect();
        for number in numbers {
            let forwarded = &self.forwarded[&number];
            if forwarded.until <= context.now {
                self.replied(number, StepReply::Unknown, context);
            } else if context.now.since(forwarded.sent) >= FORWARD_RESEND {
                self.forward(number, context);
            }
        }
    }
}

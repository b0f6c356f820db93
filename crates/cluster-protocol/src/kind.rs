//! Message kinds, by which the traffic of links is counted.

use crate::{Answer, Message};
use brasspond_consensus::Message as LogMessage;

/// Kind of a message, for traffic metrics and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// Log entries or a snapshot of the log.
    Log,
    /// Other consensus messages, such as votes, heartbeats and acknowledgements.
    LogControl,
    /// A question that expects an answer.
    Question,
    /// An answer with results of a job.
    Results,
    /// Any other answer.
    Answer,
    /// Announcements of the leader, and registrations that it accepted.
    Leading,
    /// A full view, or a request for one.
    View,
    /// A delta of a view.
    ViewChanged,
    /// An order to an edge for a run or a scoring call.
    Order,
    /// Events, outcomes and registrations of runs, and outcomes of scoring calls.
    Events,
    /// Usage reports of tenants.
    Usage,
    /// Orders to an edge to cancel a run or to discard its outcome.
    Stop,
    /// Observations of replicas, and the list of deviating replicas.
    ReplicaLoads,
    /// Everything else, such as hellos, heartbeats and quarantine updates.
    Other,
}

impl MessageKind {
    /// Number of kinds.
    pub const COUNT: usize = Self::ALL.len();

    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 14] = [
        Self::Log,
        Self::LogControl,
        Self::Question,
        Self::Results,
        Self::Answer,
        Self::Leading,
        Self::View,
        Self::ViewChanged,
        Self::Order,
        Self::Events,
        Self::Usage,
        Self::Stop,
        Self::ReplicaLoads,
        Self::Other,
    ];

    /// Classifies a message.
    pub fn of(message: &Message) -> Self {
        match message {
            Message::Consensus { message, .. } => Self::of_consensus(message),
            Message::Ask { .. } => Self::Question,
            Message::Reply { answer, .. } => match answer {
                Answer::Page(_) => Self::Results,
                _ => Self::Answer,
            },
            Message::Leading { .. } | Message::Registered(_) => Self::Leading,
            Message::View(_) | Message::NeedView => Self::View,
            Message::ViewChanged(_) | Message::ViewCatchUp(_) => Self::ViewChanged,
            Message::Run { .. } | Message::Score { .. } => Self::Order,
            Message::Runs { .. }
            | Message::Progress(_)
            | Message::Ended { .. }
            | Message::Scored { .. } => Self::Events,
            Message::Usage(_) => Self::Usage,
            Message::Cancel { .. } | Message::Recorded { .. } => Self::Stop,
            Message::ReplicaLoads(_) | Message::ReplicaObservations(_) => Self::ReplicaLoads,
            Message::Hello(_)
            | Message::Draining
            | Message::ReplicasEnded(_)
            | Message::ContentAnswered(_)
            | Message::Quarantine(_)
            | Message::Beat { .. } => Self::Other,
        }
    }

    fn of_consensus(message: &LogMessage) -> Self {
        match message {
            LogMessage::Append { entries, .. } if !entries.is_empty() => Self::Log,
            LogMessage::Install { .. } => Self::Log,
            _ => Self::LogControl,
        }
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::LogControl => "log_control",
            Self::Question => "question",
            Self::Results => "results",
            Self::Answer => "answer",
            Self::Leading => "leading",
            Self::View => "view",
            Self::ViewChanged => "view_changed",
            Self::Order => "order",
            Self::Events => "events",
            Self::Usage => "usage",
            Self::Stop => "stop",
            Self::ReplicaLoads => "replica_loads",
            Self::Other => "other",
        }
    }
}

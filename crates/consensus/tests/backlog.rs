//! A member with a long log to apply.

use brasspond_consensus::{Consensus, Entry, Member, Payload, Persisted, Snapshot, Timing};
use bytes::Bytes;
use rstest::rstest;

/// Entries of the log.
const ENTRIES: u64 = 1_000;
/// Bytes of an entry.
const ENTRY: usize = 1_024;

/// The only member of a group, back after its process ended.
fn returned() -> Consensus {
    let own = Member {
        id: 1,
        machine: "storage-1".to_string(),
        address: "10.0.0.1:7000".parse().expect("address"),
        zone: "zone".to_string(),
        region: None,
    };
    let entries = (2..=ENTRIES + 1).map(|index| Entry {
        term: 1,
        index,
        payload: Payload::Command(Bytes::from(vec![7; ENTRY])),
    });
    let kept = Persisted {
        snapshot: Some(Snapshot {
            index: 1,
            term: 1,
            members: vec![own],
            state: Bytes::new(),
        }),
        entries: entries.collect(),
        ..Persisted::default()
    };
    let mut member = Consensus::new(1, kept, Timing::default(), 7, 0);
    let mut now = 0;
    while !member.is_leader() {
        now += 50;
        member.tick(now);
    }
    let ready = member.take_ready();
    assert!(ready.must_sync(), "the vote and the term's first entry");
    member.persisted(member.last_index());
    member.tick(now + 200);
    member
}

/// A new leader that applied its whole log at once was silent for longer than an election, and
/// the group changed leaders for 3.4 s.
#[rstest]
#[case::a_few(4 * ENTRY)]
#[case::one_at_a_time(1)]
#[case::all(usize::MAX)]
fn a_long_log_is_given_out_in_slices(#[case] limit: usize) {
    let mut member = returned();
    let mut next = 2;
    while member.has_backlog() {
        let slice = member.take_committed(limit);
        assert!(!slice.is_empty(), "each slice goes on");
        let bytes = slice.len().saturating_sub(1).saturating_mul(ENTRY);
        assert!(bytes <= limit, "{bytes} bytes of {limit}");
        for entry in slice {
            assert_eq!(entry.index, next, "in order, each once");
            next += 1;
        }
    }
    assert_eq!(next, member.last_index() + 1, "to the end");
    assert!(next > ENTRIES + 1, "all of what was kept");
}

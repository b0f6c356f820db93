//! Guards against a difference that leaves the balancer in another state than the complete view.

use super::super::tests::plain_requirements;
use super::*;
use crate::clock::Moment;
use crate::link::LinkContext;
use crate::test_replicas;
use brasspond_distance::Place;
use brasspond_fleet::Life;
use proptest::prelude::*;
use std::rc::Rc;

fn replica(number: u64, revision: u64) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("replica-{number}").into(),
        service: "plain".into(),
        draining: revision.is_multiple_of(3),
        life: Life::reported(1 + revision / 4),
        ..test_replicas::replica(number, revision)
    }
}

fn balancer() -> LoadBalancer {
    LoadBalancer::new(Rc::new(LinkContext::new(Place::new("n1", None))))
}

/// Replicas of a balancer that accept work, with their lives.
fn state(balancer: &LoadBalancer) -> Vec<(String, String, bool)> {
    let states = balancer.replicas.values().map(|state| {
        let id = &state.endpoint.id;
        let life = balancer.identity(id).life.to_string();
        (id.to_string(), life, state.endpoint.takes_work())
    });
    let mut states: Vec<_> = states.collect();
    states.sort();
    states
}

proptest! {
    #[test]
    fn a_difference_has_the_same_effect_as_the_view(
        changes in proptest::collection::vec((0_u64..6, any::<bool>()), 1..30),
    ) {
        let (mut by_view, mut by_delta) = (balancer(), balancer());
        let mut view = FleetView::default();
        for (step, (number, is_removed)) in changes.iter().enumerate() {
            let before = view.clone();
            let revision = step as u64 + 1;
            if *is_removed {
                view.remove_replica(&format!("replica-{number}"));
            } else {
                view.insert_replica(replica(*number, revision));
            }
            view.replicas_revision = revision;
            let delta = view.delta_from(&before);
            prop_assert!(before.differs_in_replicas_only(&delta));
            let now = revision * 100;
            by_view.apply_view(&view, ChangedReplicas::All, now);
            by_delta.apply_view(&view, ChangedReplicas::Delta(&delta), now);
            prop_assert_eq!(state(&by_view), state(&by_delta));
            prop_assert_eq!(by_view.ready(), by_delta.ready());
            let chosen = |balancer: &LoadBalancer| {
                let chosen = balancer.choose(&plain_requirements(), &[], Moment::now());
                chosen.is_some()
            };
            prop_assert_eq!(chosen(&by_view), chosen(&by_delta));
        }
    }
}

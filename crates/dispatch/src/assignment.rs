//! Assigns each replica its primary model.
//!
//! Keeps no state; changes [`Orders::primary_models`]. `demand` computes each model's share of the
//! replicas.

use crate::demand::Demand;
use crate::orders::Orders;
use brasspond_fleet::FleetView;
use std::collections::HashMap;

impl Orders {
    /// Assigns the replicas of each service to its models by demand. Replicas without a primary
    /// model are assigned first. Others are reassigned only if a model exceeds its share by a
    /// threshold and another falls short of its share by as much.
    pub fn assign(&mut self, view: &FleetView, demand: &Demand) {
        self.primary_models.retain(|id, _| {
            view.replicas
                .get(id.as_str())
                .is_some_and(|replica| view.takes_work(replica))
        });
        let Some(configuration) = &view.configuration else {
            return;
        };
        for service in &configuration.services {
            if service.models.is_empty() {
                continue;
            }
            let ready: Vec<_> = view.replicas_taking_work(&service.name).collect();
            let mut counts = self.counts(&service.models);
            let new = ready.iter();
            let new = new.filter(|replica| !self.primary_models.contains_key(&*replica.id));
            let mut new: Vec<_> = new.collect();
            new.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
            for replica in new {
                let underserved = demand.most_underserved(&service.models, &counts, ready.len());
                counts[underserved] += 1;
                let model = service.models[underserved].clone();
                self.primary_models.insert(replica.id.to_string(), model);
            }
            self.rebalance(&service.models, counts, demand, view);
        }
    }

    /// Counts the replicas with each of these primary models.
    fn counts(&self, models: &[String]) -> Vec<usize> {
        let mut counts = vec![0; models.len()];
        for primary in self.primary_models.values() {
            if let Some(index) = models.iter().position(|model| model == primary) {
                counts[index] += 1;
            }
        }
        counts
    }

    /// Reassigns replicas until each model has about its share. Replicas with the newest version of
    /// their new model are reassigned first.
    fn rebalance(
        &mut self,
        models: &[String],
        mut counts: Vec<usize>,
        demand: &Demand,
        view: &FleetView,
    ) {
        // Replicas that may be reassigned, by pair of models, those with the newest version last.
        let mut candidates: HashMap<(usize, usize), Vec<String>> = HashMap::new();
        while let Some((from, to)) = demand.next_reassignment(models, &counts) {
            let movable = candidates
                .entry((from, to))
                .or_insert_with(|| self.movable(&models[from], &models[to], view));
            let Some(id) = movable.pop() else {
                return;
            };
            let is_unmoved = self.primary_models.get(&id) == Some(&models[from]);
            if !is_unmoved {
                continue;
            }
            log::info!(
                "event=replica_reassigned replica={id} from={} to={}",
                models[from],
                models[to]
            );
            self.primary_models.insert(id, models[to].clone());
            counts[from] -= 1;
            counts[to] += 1;
        }
    }

    /// Returns the replicas with the primary model `from`, sorted by the version of `to` that they
    /// serve, lowest first.
    fn movable(&self, from: &str, to: &str, view: &FleetView) -> Vec<String> {
        let version = |id: &str| view.replicas.get(id)?.version_of(to);
        let serving = self.primary_models.iter();
        let serving = serving.filter(|(_, model)| *model == from);
        let mut movable: Vec<_> = serving.map(|(id, _)| (version(id), id.clone())).collect();
        movable.sort();
        movable.into_iter().map(|(_, id)| id).collect()
    }
}

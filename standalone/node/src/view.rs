//! Snapshots of the node's state that the decisions thread publishes to the HTTP handlers.

use brasspond_control::FleetStatus;
use brasspond_resource::{CallerSpec, Catalogue, Kind, Spec};
use brasspond_types::ModelName;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A caller identified by its token.
#[derive(Clone, Debug)]
pub(crate) struct KnownCaller {
    pub(crate) name: String,
    pub(crate) spec: CallerSpec,
}

/// A snapshot of the node's state.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) callers: Arc<HashMap<String, KnownCaller>>,
    pub(crate) newest: BTreeMap<ModelName, u64>,
    pub(crate) fleet: FleetStatus,
    pub(crate) counters: Vec<(&'static str, f64)>,
    pub(crate) ready: bool,
    pub(crate) drained: bool,
}

/// The callers of a configuration by the digest of their token, in lower-case hex.
pub(crate) fn callers_by_digest(catalogue: &Catalogue) -> HashMap<String, KnownCaller> {
    let callers = catalogue
        .of_kind(Kind::Caller)
        .filter_map(|object| match &object.spec {
            Spec::Caller(spec) => {
                let caller = KnownCaller {
                    name: object.metadata.name.clone(),
                    spec: spec.clone(),
                };
                Some((spec.token_digest.to_ascii_lowercase(), caller))
            }
            _ => None,
        });
    callers.collect()
}

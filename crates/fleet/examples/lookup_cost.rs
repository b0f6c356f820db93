//! Compares the time to find a route and a tenant by a linear search of the configuration with the
//! time by its index:
//!
//! ```text
//! cargo run --release -p brasspond-fleet --example lookup_cost -- ROUTES KEYS
//! ```

use brasspond_fleet::{
    Configuration, ConfigurationIndex, Credential, KeyDigest, Regions, Route, RouteKind, Tenant,
};
use std::sync::Arc;
use std::time::Instant;

const KEYS_PER_TENANT: usize = 3;
const ROUNDS: usize = 100_000;

fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 40),
        prefix: format!("/prefix-{number}/"),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 150,
        priority: 1,
        targets: Vec::new(),
        max_attempts: 1,
        resumable: false,
        single_version: false,
        max_queue_ms: 0,
        due_ms: 0,
        is_public: false,
        regions: Regions::Any,
    }
}

fn key(number: usize) -> KeyDigest {
    KeyDigest::of(format!("secret-{number}").as_bytes())
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let [routes, keys] = numbers[..] else {
        eprintln!("usage: lookup_cost ROUTES KEYS");
        std::process::exit(2);
    };
    let tenants = (0..keys / KEYS_PER_TENANT).map(|number| {
        let first = number * KEYS_PER_TENANT;
        Arc::new(Tenant {
            name: format!("tenant-{number}").into(),
            keys: (first..first + KEYS_PER_TENANT).map(key).collect(),
            priority: None,
            regions: Regions::Any,
        })
    });
    let configuration = Arc::new(Configuration {
        version: 1,
        routes: (0..routes).map(route).collect(),
        tenants: tenants.collect(),
        ..Configuration::default()
    });
    let started = Instant::now();
    let index = ConfigurationIndex::new(Arc::clone(&configuration));
    println!(
        "index built in {:.2} ms",
        started.elapsed().as_secs_f64() * 1e3
    );
    let host = format!("host-{}.example", (routes - 1) % 40);
    let path = format!("/prefix-{}/x", routes - 1);
    let secret = format!("secret-{}", keys / 2);
    measure("route by linear search", || {
        configuration.route(&host, &path).is_some()
    });
    measure("route by index", || index.route(&host, &path).is_some());
    measure("key by linear search", || {
        let key = KeyDigest::of(secret.as_bytes());
        let mut tenants = configuration.tenants.iter();
        tenants.any(|tenant| tenant.keys.contains(&key))
    });
    measure("key by index", || {
        let key = KeyDigest::of(secret.as_bytes());
        index.admit(Credential::Key(key), false).is_ok()
    });
}

fn measure(name: &str, find: impl Fn() -> bool) {
    let started = Instant::now();
    let found = (0..ROUNDS).filter(|_| std::hint::black_box(find())).count();
    let each = started.elapsed().as_secs_f64() * 1e9 / ROUNDS as f64;
    println!("{name}: {each:.0} ns, found {found} of {ROUNDS}");
}

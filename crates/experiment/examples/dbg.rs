//! dbg
use brasspond_experiment::*;
use brasspond_simulation::World;
use brasspond_types::Timestamp;
fn main() {
    let text = std::fs::read_to_string("scenarios/cardiff.toml").unwrap();
    let e = parse_experiment("x", &text).unwrap();
    for p in [PolicyName::Brasspond, PolicyName::RoundRobin] {
        let mut w = World::new(dbg_world(&e, p));
        for t in (2..120).step_by(4) {
            w.run_until(Timestamp::ZERO + std::time::Duration::from_secs(t));
            println!("{p:?} t={t} {:?} {:?}", w.dbg_loads(), w.trainer_totals().iter().map(|t| (t.samples, t.steps)).collect::<Vec<_>>());
        }
    }
}

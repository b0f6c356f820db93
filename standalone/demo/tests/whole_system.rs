//! The demonstration on real sockets, with its engine crash and node
//! replacement.

use brasspond_demo::{DemoOptions, run};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn demonstration_is_correct() {
    let options = DemoOptions { seed: 7, steps: 2 };
    let report = run(options, |_| {}).await.expect("the demonstration runs");
    assert!(report.is_correct(), "{}", report.summary());
    assert_eq!(report.samples.requested, 512);
}

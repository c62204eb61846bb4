//! At-most-once execution under races, lost append replies, delayed and duplicate appends, process
//! pauses, restarts and log outages.

mod sim;

use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;

use sim::World;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xC1A1),
        ..ProptestConfig::default()
    })]

    // Guards against: a second hand-over of a key, a "not run" refusal of a request that runs, a
    // response of another key, a request with no or more than one action (run, answer or refusal),
    // and nodes that derive different states from the same prefix of the stream. The simulation
    // checks all of these.
    #[test]
    fn no_key_is_handed_over_twice(seed in any::<u64>(), nodes in 2..5_usize) {
        World::new(seed, nodes).run(3_000);
    }
}

// Guards against a simulation that passes only because no faults or repeats occur in it.
#[gtest]
fn the_simulation_reaches_each_fault() {
    let mut world = World::new(7, 4);
    world.run(20_000);
    let counters = &world.counters;
    println!("{counters:?}");
    expect_that!(counters.handed, gt(100));
    expect_that!(counters.answers, gt(100));
    expect_that!(counters.lost_replies, gt(100));
    expect_that!(counters.late_copies, gt(100));
    expect_that!(counters.rerun_after_release, gt(10));
    expect_that!(counters.restarts, gt(10));
    expect_that!(counters.adopted, gt(5));
    expect_that!(counters.compared, gt(1_000));
}

//! Orders to evacuate a data centre during and after the faults of a soak test.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::send_request;
use super::configuration::CONTACT_TIME;
use super::deployment::Deployment;
use super::history::History;
use super::platform::{self, EVACUATED_UPSTREAM};

/// Timeout of a call to a keeper, after which the order is sent to another one.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest pause between two orders, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;

/// Time after its acknowledgement from which on an evacuation is in force.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Time for which requests at the evacuated upstream are counted.
const CHECK_TIME: Duration = Duration::from_secs(2);

/// Time limit for an order, and for the return of the upstream.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends an order to random keepers until one acknowledges it, `stop` is set or the time is over. Returns
/// whether it was acknowledged.
fn order(
    deployment: &Deployment,
    history: &History,
    line: &str,
    rng: &mut ChaCha8Rng,
    stop: &AtomicBool,
) -> bool {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end && !stop.load(Ordering::SeqCst) {
        let keepers = deployment.keepers();
        let keeper = keepers[rng.random_range(0..keepers.len())];
        let address = deployment.control_address(keeper);
        let status = send_request(address, line, "", CALL_TIMEOUT).map(|answer| answer.status());
        match status {
            Some(200) => return true,
            Some(status) if (400..500).contains(&status) && status != 408 && status != 429 => {
                history.record_violation(format!("EVAC {line} was rejected: status {status}"));
                return false;
            }
            Some(_) | None => thread::sleep(Duration::from_millis(100)),
        }
    }
    false
}

/// Orders evacuations and withdraws them until `stop` is set, then withdraws the last one.
pub fn repeat(deployment: &Arc<Deployment>, history: &Arc<History>, stop: &AtomicBool, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xe7ac);
    while !stop.load(Ordering::SeqCst) {
        for line in [platform::EVACUATE, platform::END_EVACUATION] {
            order(deployment, history, line, &mut rng, stop);
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
        }
    }
    let never = AtomicBool::new(false);
    order(
        deployment,
        history,
        platform::END_EVACUATION,
        &mut rng,
        &never,
    );
}

/// Orders an evacuation, kills all keepers, and checks that nothing reaches the upstream until the order is
/// withdrawn, and that it gets requests after that.
pub fn check(deployment: &Arc<Deployment>, history: &Arc<History>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4ec);
    let never = AtomicBool::new(false);
    let count = || deployment.stand_ins.arrivals(EVACUATED_UPSTREAM);
    let check_none = |when: &str| {
        let before = count();
        thread::sleep(CHECK_TIME);
        let arrived = count() - before;
        if arrived > 0 {
            history.record_violation(format!("EVAC {arrived} requests reached it {when}"));
        }
    };
    if !order(deployment, history, platform::EVACUATE, &mut rng, &never) {
        history.record_violation("EVAC was not acknowledged".to_owned());
        return;
    }
    thread::sleep(IN_FORCE_BOUND);
    check_none("after the order");
    let killed_at = Instant::now();
    for keeper in &deployment.keepers() {
        let restarted = deployment
            .kill(*keeper)
            .and_then(|()| deployment.spawn(*keeper, false));
        if let Err(error) = restarted {
            println!("failed to restart keeper {keeper}: {error:#}");
        }
    }
    history.record_core_disruption(killed_at, Instant::now() + CONTACT_TIME);
    check_none("after the keepers were killed");
    if !order(
        deployment,
        history,
        platform::END_EVACUATION,
        &mut rng,
        &never,
    ) {
        history.record_violation("EVAC was not taken back".to_owned());
        return;
    }
    let (before, end) = (count(), Instant::now() + TIMEOUT);
    while count() == before {
        if Instant::now() > end {
            history.record_violation("EVAC nothing reached it after the withdrawal".to_owned());
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

//! Changes that an operator declares one after the other during a series of faults.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::operator::Operator;

/// Time within which a declaration is confirmed, as the platform states it.
pub const ACKNOWLEDGEMENT_BOUND: Duration = Duration::from_secs(4);

/// Time after which a declaration is given up.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between a confirmation and the next declaration.
const PAUSE: Duration = Duration::from_millis(100);

/// Declaration during a series of faults.
#[derive(Debug)]
pub struct Change {
    /// Version of the declaration.
    pub version: u64,
    /// Time of its first sending.
    pub sent_at: Instant,
    /// Time from its first sending until its confirmation.
    pub confirmed_after: Option<Duration>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.confirmed_after {
            Some(after) => write!(f, "version {} was confirmed after {after:?}", self.version),
            None => write!(
                f,
                "version {} was not confirmed in {TIMEOUT:?}",
                self.version
            ),
        }
    }
}

/// Declares one version after the other while `series` runs, and returns the changes and what it returned.
pub fn declare_during<T>(
    operator: &mut Operator,
    series: impl FnOnce() -> anyhow::Result<T>,
) -> anyhow::Result<(Vec<Change>, T)> {
    let stop = AtomicBool::new(false);
    let (changes, outcome) = thread::scope(|scope| {
        let changes = scope.spawn(|| declare(operator, &stop));
        let outcome = series();
        stop.store(true, Ordering::SeqCst);
        (changes.join(), outcome)
    });
    let changes = changes.map_err(|_| anyhow::anyhow!("the operator panicked"))?;
    Ok((changes, outcome?))
}

/// Declares one version after the other until `stop` is set.
fn declare(operator: &mut Operator, stop: &AtomicBool) -> Vec<Change> {
    let mut changes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let sent_at = Instant::now();
        let (version, is_confirmed) = operator.declare_until_confirmed(TIMEOUT);
        changes.push(Change {
            version,
            sent_at,
            confirmed_after: is_confirmed.then(|| sent_at.elapsed()),
        });
        thread::sleep(PAUSE);
    }
    changes
}

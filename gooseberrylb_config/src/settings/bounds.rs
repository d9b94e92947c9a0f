//! What a platform promises of the system: how fast it recovers, and what it bears. Every duration of
//! the product that such a promise rests on is derived here or in [`timing`](super::timing), so that none
//! is set beside a promise; `docs/BOUNDS.md` lists them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::reader::read_object;

/// Default of [`Bounds::catch_up_s`].
const DEFAULT_CATCH_UP_S: f64 = 6.0;

/// Longest time that is told apart from no promise at all. Sums of longer ones could leave the clock's
/// range.
const MAX_BOUND: Duration = Duration::from_secs(24 * 60 * 60);

/// Time limits that the platform promises to callers and operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time after its start or return during which an instance still counts as lost, in seconds. The
    /// next loss may follow at once.
    pub catch_up_s: f64,
    /// Time in which an operator's change is answered, in milliseconds.
    pub answer_limit_ms: Option<f64>,
    /// Time after the last disruption from which on all instances must work as promised again, in
    /// milliseconds.
    pub settle_limit_ms: Option<f64>,
    /// Time in which a withdrawn key must be refused everywhere, in milliseconds, also by instances that
    /// cannot reach the others.
    pub revoke_limit_ms: Option<f64>,
    /// Time after the return of all instances in which requests must be served again, in seconds.
    pub recovery_limit_s: Option<f64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            catch_up_s: DEFAULT_CATCH_UP_S,
            answer_limit_ms: None,
            settle_limit_ms: None,
            revoke_limit_ms: None,
            recovery_limit_s: None,
        }
    }
}

impl Bounds {
    /// Returns the time within which a new instance with a disk takes the place of a lost one.
    pub fn catch_up(&self) -> Duration {
        seconds(self.catch_up_s)
    }

    /// Returns the time in which an operator's change is answered, if it is promised.
    pub fn answer_limit(&self) -> Option<Duration> {
        self.answer_limit_ms.map(milliseconds)
    }

    /// Returns the time after the last disruption in which all instances work again, if it is promised.
    pub fn settle_limit(&self) -> Option<Duration> {
        self.settle_limit_ms.map(milliseconds)
    }

    /// Returns the time in which a withdrawn key is refused everywhere, if it is promised.
    pub fn revoke_limit(&self) -> Option<Duration> {
        self.revoke_limit_ms.map(milliseconds)
    }

    /// Returns the time after the return of all instances in which requests are served again, if it is
    /// promised.
    pub fn recovery_limit(&self) -> Option<Duration> {
        self.recovery_limit_s.map(seconds)
    }
}

/// Returns a number of milliseconds as a duration that sums may contain.
pub(super) fn milliseconds(number: f64) -> Duration {
    seconds(number / 1000.0)
}

fn seconds(number: f64) -> Duration {
    let duration = Duration::try_from_secs_f64(number).unwrap_or(MAX_BOUND);
    duration.min(MAX_BOUND)
}

/// Losses that the system bears at once while it keeps all promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of instances with a disk.
    pub machines: usize,
    /// Number of whole data centres.
    pub zones: usize,
    /// Number of whole regions.
    pub regions: usize,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            machines: 1,
            zones: 0,
            regions: 0,
        }
    }
}

impl Tolerance {
    /// Returns the largest number of voters that may be lost at once, of voters at these places: the instances,
    /// or all those in the data centres or regions that hold most of them. Whole data centres count only as
    /// far as a majority is left, since no repair could make up for more.
    pub fn losses<'a>(
        &self,
        voters: impl IntoIterator<Item = (&'a id::DataCentre, &'a id::Region)>,
    ) -> usize {
        let (mut by_data_centre, mut by_region) = (BTreeMap::new(), BTreeMap::new());
        let mut count = 0_usize;
        for (data_centre, region) in voters {
            *by_data_centre.entry(data_centre).or_default() += 1;
            *by_region.entry(region).or_default() += 1;
            count += 1;
        }
        let minority = count.saturating_sub(1) / 2;
        let zones = largest(by_data_centre, self.zones);
        let regions = largest(by_region, self.regions);
        self.machines.max(zones.max(regions).min(minority))
    }
}

/// Returns the sum of the `number` largest counts.
fn largest<K>(counts: BTreeMap<K, usize>, number: usize) -> usize {
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    counts.into_iter().take(number).sum()
}

read_object!(Bounds {
    catch_up_s = Bounds::default().catch_up_s,
    answer_limit_ms = None,
    settle_limit_ms = None,
    revoke_limit_ms = None,
    recovery_limit_s = None,
});
read_object!(Tolerance {
    machines = Tolerance::default().machines,
    zones = 0,
    regions = 0,
});

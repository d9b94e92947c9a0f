//! What a platform promises of the system: how fast it recovers, and what it bears. Every duration of
//! the product that such a promise rests on is derived here; `docs/BOUNDS.md` lists them.

use std::time::Duration;

use crate::reader::read_object;

/// Default of [`Bounds::catch_up_s`].
const DEFAULT_CATCH_UP_S: f64 = 6.0;

/// Time limits that the platform promises to callers and operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time after its start or return during which an instance still counts as lost, in seconds. The
    /// next loss may follow at once.
    pub catch_up_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            catch_up_s: DEFAULT_CATCH_UP_S,
        }
    }
}

impl Bounds {
    /// Returns the time within which a new instance with a disk takes the place of a lost one.
    pub fn catch_up(&self) -> Duration {
        Duration::try_from_secs_f64(self.catch_up_s).unwrap_or(Duration::MAX)
    }
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

read_object!(Bounds {
    catch_up_s = Bounds::default().catch_up_s,
});
read_object!(Tolerance {
    machines = Tolerance::default().machines,
    zones = 0,
    regions = 0,
});

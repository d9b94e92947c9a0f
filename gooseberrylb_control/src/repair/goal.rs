//! What the repair of the membership aims at, derived from what a deployment promises.

use std::time::Duration;

use gooseberrylb_config::settings::Silence;

/// Time for which a spare must have been alive where only some of the instances get a vote, so that an
/// instance that keeps failing is not chosen.
const MIN_SPARE_UPTIME: Duration = Duration::from_secs(2);

/// Which instances are to vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// All that have a disk.
    EveryDisk,
    /// As many as this.
    Fixed(usize),
}

/// Aim of the repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Goal {
    /// Which instances are to vote.
    pub size: Size,
    /// Number of voters that may be lost at once.
    pub losses: usize,
    /// Silence after which a voter loses its vote while fewer than [`Goal::losses`] further ones could be
    /// lost.
    pub urgent_silence: Duration,
    /// Silence after which a voter loses its vote otherwise.
    pub silence: Duration,
    /// Time for which a spare must have been alive before it is added.
    pub spare_uptime: Duration,
}

impl Goal {
    /// Returns the goal that every instance with a disk votes, and that a voter loses its vote after
    /// `silence`.
    pub fn every_disk(losses: usize, silence: Silence) -> Self {
        Self {
            size: Size::EveryDisk,
            losses,
            urgent_silence: silence.urgent,
            silence: silence.ordinary,
            spare_uptime: Duration::ZERO,
        }
    }

    /// Returns the goal that a fixed number of instances vote.
    pub fn fixed(size: usize) -> Self {
        let silence = Silence::default();
        Self {
            size: Size::Fixed(size),
            losses: size.saturating_sub(1) / 2,
            urgent_silence: silence.urgent,
            silence: silence.ordinary,
            spare_uptime: MIN_SPARE_UPTIME,
        }
    }

    /// Returns the number of voters of which none is removed for its silence: of fewer, the losses that
    /// must be borne could take every copy of an accepted entry, or the quorum.
    pub fn min_voters(&self) -> usize {
        let needed = 2 * self.losses + 1;
        match self.size {
            Size::EveryDisk => needed,
            Size::Fixed(size) => size.max(needed),
        }
    }
}

//! Sizes of development clusters.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use geraniumshed_standin::StandinSettings;
use geraniumshed_standin::set::ZoneSettings;

/// The size of a development cluster and of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DevProfile {
    /// A few workers, for a first try.
    Small,
    /// The size of the Cámara's deployment.
    Camara,
    /// The size of Yıldız's deployment.
    Yildiz,
}

/// All profiles with their names.
const PROFILE_NAMES: [(DevProfile, &str); 3] = [
    (DevProfile::Small, "small"),
    (DevProfile::Camara, "camara"),
    (DevProfile::Yildiz, "yildiz"),
];

/// The error for a text that names no profile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseProfileError(String);

impl Display for ParseProfileError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a profile: use small, camara or yildiz",
            self.0
        )
    }
}

impl std::error::Error for ParseProfileError {}

impl Display for DevProfile {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let name = PROFILE_NAMES.iter().find(|(profile, _)| profile == self);
        f.write_str(name.map_or("", |(_, name)| name))
    }
}

impl FromStr for DevProfile {
    type Err = ParseProfileError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = PROFILE_NAMES.iter().find(|(_, name)| *name == text);
        found
            .map(|(profile, _)| *profile)
            .ok_or_else(|| ParseProfileError(text.to_owned()))
    }
}

impl DevProfile {
    /// Returns the number of daemons.
    pub fn daemons(self) -> usize {
        match self {
            Self::Small => 3,
            Self::Camara | Self::Yildiz => 6,
        }
    }

    /// Returns the number of shards.
    pub fn shards(self) -> u16 {
        match self {
            Self::Small => 3,
            Self::Camara | Self::Yildiz => 6,
        }
    }

    /// Returns the number of requests that each group of callers sends.
    pub fn requests(self) -> u32 {
        match self {
            Self::Small => 200,
            Self::Camara | Self::Yildiz => 2000,
        }
    }

    /// Returns the time between two requests of one group of callers.
    pub fn request_interval(self) -> Duration {
        match self {
            Self::Small => Duration::from_millis(40),
            Self::Camara | Self::Yildiz => Duration::from_millis(5),
        }
    }

    /// Returns the number of replicas of the booking and the quote service, or `None` to keep that
    /// of the examples.
    pub fn replicas(self) -> Option<u32> {
        match self {
            Self::Small => None,
            Self::Camara => Some(50),
            Self::Yildiz => Some(65),
        }
    }

    /// Returns the settings of the stand-ins.
    pub fn standin_settings(self, seed: u64) -> StandinSettings {
        let mut settings = StandinSettings {
            seed,
            zones: self.zones(),
            ..StandinSettings::default()
        };
        settings.workers.count = match self {
            Self::Small => 6,
            Self::Camara => 50,
            Self::Yildiz => 65,
        };
        settings
    }

    /// Returns the availability zones of the cluster.
    fn zones(self) -> Vec<ZoneSettings> {
        let (region, names) = match self {
            Self::Small | Self::Camara => ("montevideo", ["centro", "cordon", "pocitos"]),
            Self::Yildiz => ("marmara", ["bursa", "izmit", "yalova"]),
        };
        names
            .iter()
            .map(|name| ZoneSettings {
                name: name.parse().expect("the names of the profiles are valid"),
                region: region.parse().expect("the names of the profiles are valid"),
            })
            .collect()
    }
}

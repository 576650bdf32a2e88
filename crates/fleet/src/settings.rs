//! What an operator sets, and what follows from it.
use crate::Millis;
use crate::word::{Name, Zone};
use std::net::SocketAddr;

/// Members known at most, this host with them; who comes on top is dropped and counted.
pub const MEMBERS_MOST: usize = 16_384;
pub const SEEDS_MOST: usize = 32;
pub const PERIOD: (Millis, Millis) = (50, 60_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Only hosts that name the same fleet hear each other.
    pub fleet: Name,
    pub name: Name,
    pub zone: Zone,
    /// Where others reach this host.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// One member is probed a period.
    pub period: Millis,
    /// How long the unreachable are kept and looked for.
    pub keep: Millis,
    /// Parts of Lifeguard: turned off by the model alone, to be weighed against.
    pub health: bool,
    pub confirmations: bool,
    #[cfg(feature = "mistakes")]
    pub mistake: Option<Mistake>,
}

/// A rule that is left out.
#[cfg(feature = "mistakes")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// Who is doubted says nothing new of itself.
    Unrefuted,
    /// Nothing is kept of those that are over.
    NoGraves,
    /// An earlier word counts as much as a later one.
    EarlierWords,
}

/// A host's place in its fleet's view, as a configuration puts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub listen: SocketAddr,
    pub settings: Settings,
}

/// The same as it is written down, not yet checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Written {
    pub fleet: String,
    pub host: String,
    pub listen: Option<SocketAddr>,
    /// Where others reach it; none: where it listens.
    pub reached_at: Option<SocketAddr>,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub period: Option<Millis>,
    pub keep: Option<Millis>,
}

impl Written {
    /// # Errors
    /// All that is wrong with it, each with its field.
    pub fn check(&self) -> Result<Place, Vec<String>> {
        let mut wrong = Vec::new();
        let fleet = Name::try_from(self.fleet.as_str()).ok().filter(|n| !n.is_empty());
        let name = Name::try_from(self.host.as_str()).ok().filter(|n| !n.is_empty());
        let zone = Zone::try_from(self.zone.as_str()).ok();
        let reached = self.reached_at.or(self.listen);
        let (period, keep) = (self.period.unwrap_or(1_000), self.keep.unwrap_or(3_600_000));
        for (well, text) in [
            (fleet.is_some(), "name: expected 1 to 48 bytes".to_owned()),
            (name.is_some(), "the host's name: expected 1 to 48 bytes".to_owned()),
            (zone.is_some(), "zone: expected up to 24 bytes".to_owned()),
            (self.listen.is_some(), "listen: expected address:port".to_owned()),
            (
                reached.is_none_or(|r| !r.ip().is_unspecified() && r.port() != 0),
                "reached_at: expected where others reach this host; it listens on every address".to_owned(),
            ),
            (self.seeds.len() <= SEEDS_MOST, format!("seeds: expected {SEEDS_MOST} at most")),
            (
                (PERIOD.0..=PERIOD.1).contains(&period),
                format!("period: expected {} to {} ms", PERIOD.0, PERIOD.1),
            ),
            (keep >= KEEP_PERIODS * period, format!("keep: expected {KEEP_PERIODS} periods or more")),
        ] {
            if !well {
                wrong.push(text);
            }
        }
        match (fleet, name, zone, self.listen, reached) {
            (Some(fleet), Some(name), Some(zone), Some(listen), Some(reached)) if wrong.is_empty() => {
                let seeds = self.seeds.clone();
                let settings = Settings { zone, seeds, period, keep, ..Settings::new(fleet, name, reached) };
                Ok(Place { listen, settings })
            }
            _ => Err(wrong),
        }
    }
}

impl Settings {
    pub fn new(fleet: Name, name: Name, address: SocketAddr) -> Self {
        let (zone, seeds) = (Zone::new(), Vec::new());
        let (period, keep) = (1_000, 3_600_000);
        Settings {
            fleet,
            name,
            zone,
            address,
            seeds,
            period,
            keep,
            health: true,
            confirmations: true,
            #[cfg(feature = "mistakes")]
            mistake: None,
        }
    }

    #[cfg(feature = "mistakes")]
    pub(crate) fn errs(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }

    /// How long a suspicion stands before its member counts as unreachable: with so many who confirm it, in a fleet of
    /// so many. From thrice the least down to the least, in periods times the logarithm of the fleet (Lifeguard, 4).
    pub fn suspicion(&self, members: usize, confirmed: usize) -> Millis {
        let least = LEAST * (members.max(10) as f64).log10() * self.period as f64;
        let wanted = CONFIRMED.min(members.saturating_sub(2));
        if wanted == 0 || !self.confirmations {
            return least as Millis;
        }
        let part = ((confirmed + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        (least * (MOST - (MOST - 1.0) * part.min(1.0))) as Millis
    }

    /// How often a word is passed on by each who hears it.
    pub fn told(&self, members: usize) -> u32 {
        TOLD * ((members + 1) as f64).log10().ceil() as u32
    }
}

/// Who is kept for less would be given up while it is still suspected.
const KEEP_PERIODS: u64 = 100;
/// Periods, by the decimal logarithm of the fleet: longer than a stop of five seconds.
const LEAST: f64 = 5.0;
/// Times the least: a suspicion that nobody confirms.
const MOST: f64 = 3.0;
pub(crate) const CONFIRMED: usize = 3;
const TOLD: u32 = 4;

//! Value of the header `X-Placement`.
use super::parse_integer;

/// Size of a request and location of its data.
pub(super) struct Placement {
    /// Size of the request in units, 1 or more.
    pub(super) units: f64,
    /// Shard that stores the data. `None`: the object is new.
    pub(super) shard: Option<u32>,
    /// Number of hosts that serve the volume, 1 or more.
    pub(super) host_count: u32,
}

/// Fields of the header that have been read so far.
#[derive(Default)]
struct Fields {
    units: Option<u32>,
    data: Option<DataLocation>,
    host_count: Option<u32>,
}

impl Fields {
    /// Reads one field. `None`: the field is invalid or repeated.
    fn read(&mut self, field: &str) -> Option<()> {
        let (name, value) = field.trim().split_once('=')?;
        let is_repeated = match name {
            "units" => self.units.replace(parse_integer(value)?).is_some(),
            "shard" => self.data.replace(DataLocation::parse(value)?).is_some(),
            "hosts" => self.host_count.replace(parse_integer(value)?).is_some(),
            _ => false,
        };
        (!is_repeated).then_some(())
    }
}

/// Value of the field `shard`.
#[derive(Clone, Copy)]
enum DataLocation {
    /// -1: the object is new and not stored on any shard yet.
    Nowhere,
    /// The shard with this number stores the data.
    Shard(u32),
}

impl DataLocation {
    fn parse(text: &str) -> Option<Self> {
        if text == "-1" {
            Some(DataLocation::Nowhere)
        } else {
            parse_integer(text).map(DataLocation::Shard)
        }
    }

    fn shard(self) -> Option<u32> {
        match self {
            DataLocation::Nowhere => None,
            DataLocation::Shard(shard) => Some(shard),
        }
    }
}

impl Placement {
    /// Parses the header's value: each field once, in any order; unknown fields are ignored. `max_units`: maximum size
    /// of a block I/O in units, if there is one. `None`: the value is invalid.
    pub(super) fn parse(text: &str, max_units: Option<f64>) -> Option<Self> {
        let mut fields = Fields::default();
        for field in text.split(',') {
            fields.read(field)?;
        }
        let placement = Placement {
            units: f64::from(fields.units?),
            shard: fields.data?.shard(),
            host_count: fields.host_count?,
        };
        let fits = max_units.is_none_or(|max_units| placement.units <= max_units);
        let is_valid = placement.units >= 1.0 && fits && placement.host_count >= 1;
        is_valid.then_some(placement)
    }
}

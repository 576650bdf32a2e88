//! Streams cut and damaged anywhere.
use mallowseam_archive::{Error, Header, Reader, Record, Writer};
use proptest::prelude::*;

const EXTENT_BYTES: usize = 64;

fn header() -> Header {
    Header {
        name: "water@march".into(),
        extent_bytes: EXTENT_BYTES as u32,
        extent_count: 40,
    }
}

fn extents() -> Extents {
    [0u32, 3, 4, 17, 39]
        .iter()
        .map(|i| {
            (
                *i,
                (0..EXTENT_BYTES)
                    .map(|b| (b as u32 * (i + 3)) as u8)
                    .collect(),
            )
        })
        .collect()
}

fn stream() -> Vec<u8> {
    let mut out = Vec::new();
    let mut writer = Writer::new(&mut out, &header()).expect("memory");
    for (index, data) in &extents() {
        writer.write_extent(*index, data).expect("memory");
    }
    let len = writer.finish().expect("memory");
    assert_eq!(len, out.len() as u64);
    out
}

type Extents = Vec<(u32, Vec<u8>)>;

/// All that can be read, and whether the end was there.
fn read(bytes: &[u8]) -> Result<(Extents, bool), Error> {
    let mut reader = Reader::new(bytes)?;
    let mut found = Vec::new();
    loop {
        match reader.next_record() {
            Ok(Record::Extent { index, data }) => found.push((index, data)),
            Ok(Record::End) => return Ok((found, true)),
            Err(_) => return Ok((found, false)),
        }
    }
}

#[test]
fn complete_stream_reads_back() {
    let bytes = stream();
    assert_eq!(Reader::new(&bytes[..]).expect("valid").header(), &header());
    assert_eq!(read(&bytes).expect("valid"), (extents(), true));
}

#[test]
fn stream_cut_at_any_byte_resumes_to_the_same_bytes() {
    let complete = stream();
    for cut in 0..complete.len() {
        let Ok(mut reader) = Reader::new(&complete[..cut]) else {
            continue;
        };
        while let Ok(Record::Extent { .. }) = reader.next_record() {}
        let resume_point = reader.resume_point().clone();
        assert!(resume_point.valid_bytes <= cut as u64);
        let mut out = complete[..resume_point.valid_bytes as usize].to_vec();
        let last = resume_point.last_extent;
        let mut writer = Writer::resume(&mut out, resume_point);
        for (i, data) in extents().iter().filter(|e| last.is_none_or(|l| e.0 > l)) {
            writer.write_extent(*i, data).expect("memory");
        }
        writer.finish().expect("memory");
        assert_eq!(out, complete, "cut at {cut}");
    }
}

#[test]
fn flipped_bit_is_never_read_as_data() {
    let complete = stream();
    for bit in 0..complete.len() * 8 {
        let mut bytes = complete.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok((found, ended)) = read(&bytes) {
            assert!(!ended, "bit {bit}");
            assert!(extents().starts_with(&found), "bit {bit}");
        }
    }
}

#[test]
fn missing_or_duplicate_frame_is_detected() {
    let complete = stream();
    let one = {
        let mut out = Vec::new();
        Writer::new(&mut out, &header())
            .expect("memory")
            .write_extent(0, &extents()[0].1)
            .expect("memory");
        out.len()
    };
    let head_len = Reader::new(&complete[..])
        .expect("valid")
        .resume_point()
        .valid_bytes as usize;
    let missing = [&complete[..head_len], &complete[one..]].concat();
    assert!(!read(&missing).expect("a head").1);
    let duplicate = [&complete[..one], &complete[head_len..]].concat();
    assert!(!read(&duplicate).expect("a head").1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(Reader::new(&bytes[..]).is_err());
    }

    #[test]
    fn any_extents_read_back(data in prop::collection::btree_map(0u32..40, prop::collection::vec(any::<u8>(), EXTENT_BYTES), 0..10)) {
        let mut out = Vec::new();
        let mut writer = Writer::new(&mut out, &header()).expect("memory");
        for (index, extent) in &data {
            writer.write_extent(*index, extent).expect("memory");
        }
        writer.finish().expect("memory");
        prop_assert_eq!(read(&out).expect("valid"), (data.into_iter().collect(), true));
    }
}

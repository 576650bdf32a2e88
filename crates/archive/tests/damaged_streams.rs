//! Tests of truncated and damaged streams. Data must never be read from a damaged frame, and a truncated stream must
//! resume to the same bytes as a stream that was written without interruption.
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

/// Returns a complete stream of [`extents`].
fn stream() -> Vec<u8> {
    let mut out = Vec::new();
    let mut writer = Writer::new(&mut out, &header()).expect("memory can be written");
    for (index, data) in &extents() {
        writer
            .write_extent(*index, data)
            .expect("memory can be written");
    }
    let length = writer.finish().expect("memory can be written");
    assert_eq!(length, out.len() as u64);
    out
}

type Extents = Vec<(u32, Vec<u8>)>;

/// Returns all extents that can be read, and whether the end record was read.
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
    assert_eq!(
        Reader::new(&bytes[..]).expect("stream is valid").header(),
        &header()
    );
    assert_eq!(read(&bytes).expect("stream is valid"), (extents(), true));
}

#[test]
fn stream_truncated_at_any_byte_resumes_to_the_same_bytes() {
    let complete = stream();
    for length in 0..complete.len() {
        let Ok(mut reader) = Reader::new(&complete[..length]) else {
            continue;
        };
        while let Ok(Record::Extent { .. }) = reader.next_record() {}
        let resume_point = reader.resume_point().clone();
        assert!(resume_point.valid_bytes <= length as u64);
        let mut out = complete[..resume_point.valid_bytes as usize].to_vec();
        let last = resume_point.last_extent;
        let mut writer = Writer::resume(&mut out, resume_point);
        for (index, data) in extents()
            .iter()
            .filter(|extent| last.is_none_or(|last| extent.0 > last))
        {
            writer
                .write_extent(*index, data)
                .expect("memory can be written");
        }
        writer.finish().expect("memory can be written");
        assert_eq!(out, complete, "truncated to {length} bytes");
    }
}

#[test]
fn flipped_bit_is_never_read_as_data() {
    let complete = stream();
    for bit in 0..complete.len() * 8 {
        let mut bytes = complete.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok((found, has_end)) = read(&bytes) {
            assert!(!has_end, "stream with flipped bit {bit} is read to its end");
            assert!(
                extents().starts_with(&found),
                "stream with flipped bit {bit} gives other extents"
            );
        }
    }
}

#[test]
fn missing_or_duplicate_frame_is_detected() {
    let complete = stream();
    let one_frame_end = {
        let mut out = Vec::new();
        Writer::new(&mut out, &header())
            .expect("memory can be written")
            .write_extent(0, &extents()[0].1)
            .expect("memory can be written");
        out.len()
    };
    let header_end = Reader::new(&complete[..])
        .expect("stream is valid")
        .resume_point()
        .valid_bytes as usize;
    let missing = [&complete[..header_end], &complete[one_frame_end..]].concat();
    assert!(!read(&missing).expect("header is valid").1);
    let duplicate = [&complete[..one_frame_end], &complete[header_end..]].concat();
    assert!(!read(&duplicate).expect("header is valid").1);
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
        let mut writer = Writer::new(&mut out, &header()).expect("memory can be written");
        for (index, extent) in &data {
            writer.write_extent(*index, extent).expect("memory can be written");
        }
        writer.finish().expect("memory can be written");
        prop_assert_eq!(read(&out).expect("stream is valid"), (data.into_iter().collect(), true));
    }
}

//! Streams cut and damaged anywhere.
use mallowseam_archive::{Fault, Head, Next, Reader, Writer};
use proptest::prelude::*;

const EXTENT: usize = 64;

fn head() -> Head {
    Head { name: "water@march".into(), extent: EXTENT as u32, extents: 40 }
}

fn extents() -> Extents {
    [0u32, 3, 4, 17, 39]
        .iter()
        .map(|i| (*i, (0..EXTENT).map(|b| (b as u32 * (i + 3)) as u8).collect()))
        .collect()
}

fn stream() -> Vec<u8> {
    let mut out = Vec::new();
    let mut writer = Writer::new(&mut out, &head()).expect("memory");
    extents().iter().for_each(|(i, d)| writer.extent(*i, d).expect("memory"));
    let len = writer.end().expect("memory");
    assert_eq!(len, out.len() as u64);
    out
}

type Extents = Vec<(u32, Vec<u8>)>;

/// All that can be read, and whether the end was there.
fn read(bytes: &[u8]) -> Result<(Extents, bool), Fault> {
    let mut reader = Reader::new(bytes)?;
    let mut found = Vec::new();
    loop {
        match reader.advance() {
            Ok(Next::Extent(i, d)) => found.push((i, d)),
            Ok(Next::End) => return Ok((found, true)),
            Err(_) => return Ok((found, false)),
        }
    }
}

#[test]
fn a_whole_stream_reads_back() {
    let bytes = stream();
    assert_eq!(Reader::new(&bytes[..]).expect("sound").head(), &head());
    assert_eq!(read(&bytes).expect("sound"), (extents(), true));
}

#[test]
fn a_stream_cut_at_any_byte_goes_on_from_its_last_whole_frame_to_the_same_bytes() {
    let whole = stream();
    for cut in 0..whole.len() {
        let Ok(mut reader) = Reader::new(&whole[..cut]) else { continue };
        while let Ok(Next::Extent(..)) = reader.advance() {}
        let standing = reader.standing().clone();
        assert!(standing.bytes <= cut as u64);
        let mut out = whole[..standing.bytes as usize].to_vec();
        let last = standing.last;
        let mut writer = Writer::resume(&mut out, standing);
        for (i, data) in extents().iter().filter(|e| last.is_none_or(|l| e.0 > l)) {
            writer.extent(*i, data).expect("memory");
        }
        writer.end().expect("memory");
        assert_eq!(out, whole, "cut at {cut}");
    }
}

#[test]
fn a_flipped_bit_is_never_taken_for_data() {
    let whole = stream();
    for bit in 0..whole.len() * 8 {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok((found, ended)) = read(&bytes) {
            assert!(!ended, "bit {bit}");
            assert!(extents().starts_with(&found), "bit {bit}");
        }
    }
}

#[test]
fn a_frame_left_out_or_doubled_is_noticed() {
    let whole = stream();
    let one = {
        let mut out = Vec::new();
        Writer::new(&mut out, &head()).expect("memory").extent(0, &extents()[0].1).expect("memory");
        out.len()
    };
    let head_len = Reader::new(&whole[..]).expect("sound").standing().bytes as usize;
    let left_out = [&whole[..head_len], &whole[one..]].concat();
    assert!(!read(&left_out).expect("a head").1);
    let doubled = [&whole[..one], &whole[head_len..]].concat();
    assert!(!read(&doubled).expect("a head").1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn noise_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(Reader::new(&bytes[..]).is_err());
    }

    #[test]
    fn any_extents_read_back(data in prop::collection::btree_map(0u32..40, prop::collection::vec(any::<u8>(), EXTENT), 0..10)) {
        let mut out = Vec::new();
        let mut writer = Writer::new(&mut out, &head()).expect("memory");
        data.iter().for_each(|(i, d)| writer.extent(*i, d).expect("memory"));
        writer.end().expect("memory");
        prop_assert_eq!(read(&out).expect("sound"), (data.into_iter().collect(), true));
    }
}

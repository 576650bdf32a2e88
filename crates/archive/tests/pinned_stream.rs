//! Guards against changes of the stream format: a stream that an earlier release wrote must read back, and the same
//! extents must be written with the same bytes.
use mallowseam_archive::{Header, Reader, Record, Writer};

/// A stream of a snapshot with 40 extents of 4 KiB, of which four hold data.
const STORED: &[u8] = include_bytes!("fixtures/ledger-march.mseam");

fn header() -> Header {
    Header {
        name: "ledger@march".into(),
        extent_bytes: 4_096,
        extent_count: 40,
    }
}

fn extents() -> impl Iterator<Item = (u32, Vec<u8>)> {
    [0u32, 3, 17, 39].into_iter().map(|index| {
        let data = (0..4_096u32)
            .map(|b| ((b / 16) * (index + 3) + b % 7) as u8)
            .collect();
        (index, data)
    })
}

#[test]
fn stored_stream_reads_back() {
    let dir = tempfile::tempdir().expect("directory is created");
    let path = dir.path().join("snapshot");
    std::fs::write(&path, STORED).expect("file is written");
    let mut reader =
        Reader::new(std::fs::File::open(&path).expect("file is opened")).expect("header is valid");
    assert_eq!(*reader.header(), header());
    for (index, data) in extents() {
        assert_eq!(
            reader.next_record().expect("stream is valid"),
            Record::Extent { index, data }
        );
    }
    assert_eq!(
        (
            reader.resume_point().frame_count,
            reader.resume_point().last_extent
        ),
        (4, Some(39))
    );
    assert_eq!(reader.resume_point().valid_bytes, STORED.len() as u64 - 37);
    assert_eq!(reader.next_record().expect("stream is valid"), Record::End);
}

#[test]
fn same_extents_are_written_with_the_stored_bytes() {
    let mut out = Vec::new();
    let mut writer = Writer::new(&mut out, &header()).expect("memory can be written");
    extents().for_each(|(index, data)| writer.write_extent(index, &data).expect("memory"));
    assert_eq!(writer.finish().expect("memory can be written"), 4_443);
    assert!(out == STORED, "the bytes differ");
    assert_eq!(out[..8], *b"MSEAM1\n\0");
}

#[test]
fn truncated_stored_stream_resumes_to_the_same_bytes() {
    let length = STORED.len() - 500;
    let mut reader = Reader::new(&STORED[..length]).expect("header is valid");
    while let Ok(Record::Extent { .. }) = reader.next_record() {}
    let resume_point = reader.resume_point().clone();
    let (last, mut out) = (
        resume_point.last_extent,
        STORED[..resume_point.valid_bytes as usize].to_vec(),
    );
    assert_eq!(last, Some(17));
    let mut writer = Writer::resume(&mut out, resume_point);
    for (index, data) in extents().filter(|extent| Some(extent.0) > last) {
        writer
            .write_extent(index, &data)
            .expect("memory can be written");
    }
    writer.finish().expect("memory can be written");
    assert!(out == STORED, "the bytes differ");
}

/// Operators read these texts when a file cannot be imported.
#[test]
fn errors_give_the_offset_and_what_is_expected_there() {
    let error = |bytes: &[u8]| {
        let mut reader = match Reader::new(bytes) {
            Ok(reader) => reader,
            Err(e) => return e.to_string(),
        };
        loop {
            match reader.next_record() {
                Ok(Record::End) => return "complete".into(),
                Ok(Record::Extent { .. }) => {}
                Err(e) => return e.to_string(),
            }
        }
    };
    let with_byte = |at: usize, byte: u8| {
        let mut bytes = STORED.to_vec();
        bytes[at] = byte;
        bytes
    };
    assert_eq!(error(STORED), "complete");
    assert_eq!(
        error(b"MSEAM1"),
        "byte 0: expected the header of a snapshot stream"
    );
    assert_eq!(
        error(&with_byte(0, b'X')),
        "byte 0: expected the header of a snapshot stream"
    );
    assert_eq!(
        error(&with_byte(20, b'X')),
        "byte 30: expected the hash of the header"
    );
    assert_eq!(
        error(&with_byte(62, b'X')),
        "byte 62: expected a frame or the end record"
    );
    assert_eq!(
        error(&with_byte(63, 200)),
        "byte 62: expected an extent of the snapshot, in ascending order"
    );
    assert_eq!(
        error(&with_byte(69, 200)),
        "byte 62: expected a length of compressed data that fits an extent"
    );
    assert_eq!(
        error(&with_byte(80, 1)),
        "byte 62: expected data that fits its hash"
    );
    assert_eq!(
        error(&STORED[..100]),
        "byte 62: expected a complete frame or end record"
    );
    assert_eq!(
        error(&with_byte(4_443 - 1, 0)),
        "byte 4406: expected an end record that matches the frames before it"
    );
    let large = Header {
        extent_bytes: (256 << 20) + 1,
        ..header()
    };
    let refusal = Writer::new(Vec::new(), &large)
        .map(drop)
        .expect_err("extents are too large")
        .to_string();
    assert_eq!(
        refusal,
        "byte 0: expected a name of up to 256 bytes and extents of up to 256 MiB"
    );
    assert!(
        Writer::new(
            Vec::new(),
            &Header {
                extent_bytes: 256 << 20,
                name: "n".repeat(256),
                ..header()
            }
        )
        .is_ok()
    );
    assert!(
        Writer::new(
            Vec::new(),
            &Header {
                name: "n".repeat(257),
                ..header()
            }
        )
        .is_err()
    );
}

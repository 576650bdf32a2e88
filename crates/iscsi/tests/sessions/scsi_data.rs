//! Encoding and parsing of command descriptor blocks and parameter data.
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, ModeSenseForm};
use proptest::prelude::*;

#[test]
fn logical_unit_data_has_the_lengths_it_states() {
    let unit = LogicalUnit {
        blocks: 1 << 33,
        block_size: 512,
        product: "ledger",
        serial: "water",
        max_transfer_blocks: 512,
    };
    assert_eq!(
        unit.inquiry(None)
            .expect("standard INQUIRY data is supported")[4],
        91
    );
    for page in &unit
        .inquiry(Some(0))
        .expect("list of supported pages is supported")[4..]
    {
        let data = unit.inquiry(Some(*page)).expect("listed page is supported");
        assert_eq!(
            usize::from(u16::from_be_bytes([data[2], data[3]])),
            data.len() - 4,
            "page {page:#x}"
        );
    }
    assert_eq!(unit.inquiry(Some(0x42)), None);
    assert_eq!(unit.read_capacity_10()[..4], [0xff; 4]);
    assert_eq!(
        unit.read_capacity_16()[..8],
        ((1u64 << 33) - 1).to_be_bytes()
    );
    let mode = unit
        .mode_sense(ModeSenseForm::Six, 0x3f)
        .expect("MODE SENSE of all pages is supported");
    assert_eq!(usize::from(mode[0]), mode.len() - 1);
}

#[test]
fn write_protect_and_unmap_data_round_trip_and_truncated_data_is_not_parsed() {
    for on in [true, false] {
        let (cdb, data) = scsi::mode_select_write_protect(on);
        assert_eq!(scsi::parse_cdb(&cdb), Ok(Command::ModeSelect));
        assert_eq!(scsi::parse_write_protect(&data), Some(on));
        assert_eq!(scsi::parse_write_protect(&data[..15]), None);
    }
    let runs = vec![(1 << 40, 7), (9, u32::MAX)];
    let (cdb, data) = scsi::unmap(&runs);
    assert_eq!(scsi::parse_cdb(&cdb), Ok(Command::Unmap));
    assert_eq!(scsi::parse_unmap(&data), Some(runs));
    assert_eq!(scsi::parse_unmap(&data[..30]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn read_16_and_write_16_round_trip(
        lba in any::<u64>(),
        blocks in any::<u32>(),
        group_number in 0u8..32,
        write: bool,
    ) {
        let cdb = scsi::read_or_write_16(write, lba, blocks, group_number);
        let expected = if write {
            Command::Write { lba, blocks, group_number }
        } else {
            Command::Read { lba, blocks, group_number }
        };
        prop_assert_eq!(scsi::parse_cdb(&cdb), Ok(expected));
    }
}

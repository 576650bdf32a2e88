//! Parsing and encoding of command descriptor blocks, sense data and parameter data.
use crate::harness::{Record, Rng};
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, ModeSenseForm, Sense, status};

fn record_command(record: &mut Record, command: Result<Command, Sense>) {
    let fields: Vec<u64> = match command {
        Err(sense) => return record.sense(Some(sense)),
        Ok(Command::TestUnitReady) => vec![0],
        Ok(Command::RequestSense { allocation_len }) => vec![1, allocation_len as u64],
        Ok(Command::Inquiry {
            page,
            allocation_len,
        }) => {
            vec![2, page.map_or(999, u64::from), allocation_len as u64]
        }
        Ok(Command::ReportLuns {
            select_report,
            allocation_len,
        }) => {
            vec![3, u64::from(select_report), allocation_len as u64]
        }
        Ok(Command::ReadCapacity10) => vec![4],
        Ok(Command::ReadCapacity16 { allocation_len }) => vec![5, allocation_len as u64],
        Ok(Command::Read {
            lba,
            blocks,
            group_number,
        }) => {
            vec![6, lba, u64::from(blocks), u64::from(group_number)]
        }
        Ok(Command::Write {
            lba,
            blocks,
            group_number,
        }) => {
            vec![7, lba, u64::from(blocks), u64::from(group_number)]
        }
        Ok(Command::SynchronizeCache { lba, blocks }) => vec![8, lba, u64::from(blocks)],
        Ok(Command::ModeSense {
            form,
            page,
            allocation_len,
        }) => {
            vec![
                9,
                u64::from(form == ModeSenseForm::Ten),
                u64::from(page),
                allocation_len as u64,
            ]
        }
        Ok(Command::ModeSelect) => vec![10],
        Ok(Command::Unmap) => vec![11],
        Ok(Command::GetLbaStatus {
            lba,
            allocation_len,
        }) => vec![12, lba, allocation_len as u64],
    };
    for field in fields {
        record.number(b'C', field);
    }
}

#[test]
fn command_descriptor_blocks_parse_as_recorded() {
    let (mut rng, mut record) = (Rng::new(4), Record::new());
    for opcode in 0..=255 {
        for draw in 0..24 {
            let mut cdb = [0; 16];
            cdb.copy_from_slice(&rng.bytes(16));
            cdb[0] = opcode;
            cdb[1] = [cdb[1], 0, 0x10, 0x12, 1, 0x20][draw % 6];
            cdb[2] = if draw % 5 == 0 { 0 } else { cdb[2] };
            record_command(&mut record, scsi::parse_cdb(&cdb));
        }
    }
    for cdb in [
        scsi::read_or_write_16(true, 1 << 40, 9, 63),
        scsi::read_or_write_16(false, 3, 1 << 20, 1),
        scsi::get_lba_status(77, 512),
    ] {
        record.bytes(b'b', &cdb);
    }
    assert_eq!(record.value(), CDBS, "{:#018x}", record.value());
}

#[test]
fn parameter_data_is_encoded_as_recorded() {
    let mut record = Record::new();
    for (product, serial) in [
        ("vol", "s1"),
        ("a product of a long name", "\u{e9}\n"),
        ("", ""),
    ] {
        for (blocks, block_size) in [(1, 512), (1 << 33, 4096)] {
            let unit = LogicalUnit {
                blocks,
                block_size,
                product,
                serial,
                max_transfer_blocks: 2048,
            };
            let pages = (0..=255).map(Some).chain([None]);
            for page in pages {
                record.bytes(b'q', &unit.inquiry(page).unwrap_or_default());
            }
            record.bytes(b'q', &unit.read_capacity_10());
            record.bytes(b'q', &unit.read_capacity_16());
            for page in 0..64 {
                record.bytes(
                    b'm',
                    &unit
                        .mode_sense(ModeSenseForm::Six, page)
                        .unwrap_or_default(),
                );
                record.bytes(
                    b'm',
                    &unit
                        .mode_sense(ModeSenseForm::Ten, page)
                        .unwrap_or_default(),
                );
            }
        }
    }
    for select_report in 0..3 {
        record.bytes(
            b'l',
            &scsi::report_luns([0, 1, 300, 70_000].into_iter(), select_report),
        );
    }
    let runs = [(1 << 35, 9), (4, 1), (77, u32::MAX)];
    for allocation_len in [0, 8, 24, 39, 40, 400] {
        let data = scsi::lba_status_data(&runs, allocation_len);
        record.bytes(b'g', &data);
        for (lba, blocks) in scsi::parse_lba_status(&data).expect("parameter data is consistent") {
            record.number(b'g', lba);
            record.number(b'g', u64::from(blocks));
        }
    }
    for (cdb, data) in [
        scsi::unmap(&runs),
        scsi::mode_select_write_protect(true),
        scsi::mode_select_write_protect(false),
    ] {
        record.bytes(b'd', &cdb);
        record.bytes(b'd', &data);
    }
    for sense in [
        Sense::INVALID_OPERATION_CODE,
        Sense::LBA_OUT_OF_RANGE,
        Sense::INVALID_FIELD_IN_CDB,
        Sense::LOGICAL_UNIT_NOT_SUPPORTED,
        Sense::COMMUNICATION_TIMEOUT,
        Sense::POWER_ON_OR_RESET,
        Sense::CAPACITY_DATA_CHANGED,
        Sense::DATA_PHASE_ERROR,
        Sense::WRITE_PROTECTED,
        Sense::UNRECOVERED_READ_ERROR,
    ] {
        record.sense(Some(sense));
        assert_eq!(
            Sense::from_fixed_format(&sense.to_fixed_format()),
            Some(sense)
        );
    }
    let statuses = [
        status::GOOD,
        status::CHECK_CONDITION,
        status::BUSY,
        status::TASK_SET_FULL,
        status::TASK_ABORTED,
    ];
    record.bytes(b'S', &statuses);
    assert_eq!(record.value(), PARAMETER_DATA, "{:#018x}", record.value());
}

#[test]
fn inconsistent_parameter_data_is_not_parsed() {
    assert_eq!(scsi::parse_unmap(&[0; 7]), None);
    assert_eq!(scsi::parse_unmap(&[0, 14, 0, 16, 0, 0, 0, 0, 1]), None);
    assert_eq!(scsi::parse_lba_status(&[0, 0, 0, 9, 0, 0, 0, 0, 1]), None);
    assert_eq!(scsi::parse_write_protect(&[0; 16]), None);
    assert_eq!(Sense::from_fixed_format(&[0x72; 18]), None);
    assert_eq!(Sense::from_fixed_format(&[0x70; 13]), None);
}

const CDBS: u64 = 0x59e0_56a6_95e1_6028;

const PARAMETER_DATA: u64 = 0xe313_18b0_e3a6_4f35;

//! Tests of formats, of poisoning, and of error texts. A store must never be left half prepared, and after a failed
//! guarded write it must refuse further ones, as the caller's copy in memory may differ from the disk.
use mallowseam_durable_store::testing::RecordingBackend;
use mallowseam_durable_store::{Damage, DurableStore, Format, StoreError, StoredFormat};
use redb::TableDefinition;
use std::error::Error;

const ROWS: TableDefinition<u64, u64> = TableDefinition::new("rows");
const FORMAT: Format = Format {
    key: "test",
    current: 3,
    oldest: 2,
};

#[derive(Debug, thiserror::Error)]
#[error("row {0} is missing")]
struct MissingRow(u64);

impl Damage for MissingRow {
    const STORE_NAME: &'static str = "test store";
}

type TestError = StoreError<MissingRow>;

/// Opens a store with a table of rows. Returns it with the format that was found.
fn open(
    backend: &RecordingBackend,
    format: Format,
) -> Result<(DurableStore, StoredFormat), TestError> {
    let mut found_format = None;
    let store = DurableStore::open_with_backend(backend.clone(), format, |transaction, stored| {
        transaction.open_table(ROWS)?;
        found_format = Some(stored);
        Ok(())
    })?;
    Ok((store, found_format.expect("`prepare` was called")))
}

/// Returns the value of a row.
fn row(store: &DurableStore, key: u64) -> Result<u64, TestError> {
    let rows = store.begin_read()?.open_table(ROWS)?;
    Ok(rows.get(key)?.ok_or(MissingRow(key))?.value())
}

#[test]
fn format_is_stored_and_older_ones_are_converted() {
    let backend = RecordingBackend::default();
    let stored = |format| open(&backend, format).map(|opened| opened.1);
    assert_eq!(
        stored(Format {
            current: 2,
            ..FORMAT
        })
        .expect("store is created"),
        StoredFormat::Missing
    );
    assert_eq!(
        stored(Format {
            current: 2,
            ..FORMAT
        })
        .expect("store is opened"),
        StoredFormat::Current
    );
    assert_eq!(
        stored(FORMAT).expect("store is opened"),
        StoredFormat::Older(2)
    );
    assert_eq!(
        stored(FORMAT).expect("store is opened"),
        StoredFormat::Current
    );
    let error = stored(Format {
        current: 5,
        oldest: 4,
        ..FORMAT
    })
    .expect_err("format is too old to be converted");
    assert_eq!(
        error.to_string(),
        "test store is damaged: format 3, expected 5"
    );
}

#[test]
fn failed_preparation_leaves_no_format() {
    let backend = RecordingBackend::default();
    let failed: Result<DurableStore, TestError> =
        DurableStore::open_with_backend(backend.clone(), FORMAT, |_, _| Err(MissingRow(7).into()));
    assert_eq!(
        failed.expect_err("preparation has failed").to_string(),
        "test store is damaged: row 7 is missing"
    );
    assert_eq!(
        open(&backend, FORMAT).expect("store is created").1,
        StoredFormat::Missing
    );
}

#[test]
fn failed_guarded_write_poisons_the_store() {
    let backend = RecordingBackend::default();
    let (mut store, _) = open(&backend, FORMAT).expect("store is created");
    let insert = |key: u64| {
        move |transaction: &redb::WriteTransaction| -> Result<(), TestError> {
            transaction.open_table(ROWS)?.insert(key, key * 10)?;
            Ok(())
        }
    };
    store.write_or_poison(insert(1)).expect("row is committed");
    let failed = store.write_or_poison(|transaction| {
        insert(2)(transaction)?;
        Err(MissingRow(9).into())
    });
    assert!(matches!(failed, Err(TestError::Damaged(MissingRow(9)))));
    let poisoned = store
        .write_or_poison(insert(3))
        .expect_err("store is poisoned");
    assert_eq!(
        poisoned.to_string(),
        "test store: an earlier write failed; reopen the store"
    );
    store
        .write(insert(4))
        .expect("unguarded write is committed");
    drop(store);
    let (store, _) = open(&backend, FORMAT).expect("store is reopened");
    assert_eq!(
        (
            row(&store, 1).expect("row was committed"),
            row(&store, 4).expect("row was committed")
        ),
        (10, 40)
    );
    let missing = row(&store, 2).expect_err("row was rolled back");
    assert_eq!(
        missing
            .source()
            .expect("the source is the damage")
            .to_string(),
        "row 2 is missing"
    );
}

#[test]
fn file_of_another_kind_is_a_database_error() {
    let dir = tempfile::tempdir().expect("directory is created");
    let path = dir.path().join("store");
    std::fs::write(&path, b"no database").expect("file is written");
    let opened: Result<DurableStore, TestError> = DurableStore::open(&path, FORMAT, |_, _| Ok(()));
    let error = opened.expect_err("file is not a database");
    assert!(matches!(error, StoreError::Database(_)));
    assert!(error.to_string().starts_with("test store: "), "{error}");
}

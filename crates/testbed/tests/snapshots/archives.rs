//! Export of snapshots to archive files, and import into clones. Guards against exports that cannot resume after an
//! interruption, and against imports that leave a clone different from the archive.
use crate::site::{EXTENT, Site, read_ids, write_good};

#[test]
fn interrupted_export_resumes_and_import_restores_it() {
    let site = Site::new();
    let mut client = site.client(0);
    for extent in 0..10 {
        write_good(&mut client, 0, extent + 1, extent * EXTENT + 8, 8);
    }
    site.request_lun("snapshot a march");
    write_good(&mut client, 0, 50, 8, 8);
    let archive_path = site.path("march.ms");
    let file = archive_path.display().to_string();
    let export = |name: &str| site.run(&["snapshot", "export"], &[name, &file]);
    let (code, text) = export("a@march");
    assert!(code == 0 && text.contains("10 extents written"), "{text}");
    let archive = std::fs::read(&archive_path).expect("cannot read the file");
    assert!(export("a@march").1.contains("export is already complete"));
    for cut in [archive.len() - 1, archive.len() / 2, 70] {
        std::fs::write(&archive_path, &archive[..cut]).expect("cannot write the file");
        let (code, text) = export("a@march");
        assert!(code == 0, "export of an archive cut at byte {cut}: {text}");
        assert!(
            std::fs::read(&archive_path).expect("cannot read the file") == archive,
            "archive cut at byte {cut} was not restored"
        );
    }
    site.request_lun("snapshot a april");
    let (code, text) = export("a@april");
    assert!(code == 1 && text.contains("holds `a@march`"), "{text}");

    let clone = site.request_lun("clone a@april c");
    write_good(&mut client, clone, 60, 480, 8);
    let import = || site.run(&["snapshot", "import"], &[&file, "c"]);
    let (code, text) = import();
    // Two extents of the clone differ from the archive: extent 0, rewritten after `march`, and the last one, which only
    // the clone has.
    assert!(code == 0 && text.contains("2 extents written"), "{text}");
    assert!(import().1.contains("0 extents written"));
    assert_eq!(read_ids(&mut client, clone, 8, 8), [1; 8]);
    assert_eq!(read_ids(&mut client, clone, 480, 8), [0; 8]);
    assert_eq!(read_ids(&mut client, 0, 8, 8), [50; 8]);
    let mut corrupt = archive.clone();
    corrupt[archive.len() / 2] ^= 1;
    std::fs::write(&archive_path, corrupt).expect("cannot write the file");
    let (code, text) = import();
    assert!(
        code == 1 && text.contains("expected data that fits its hash"),
        "{text}"
    );
}

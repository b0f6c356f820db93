//! Reading, removal and cleanup of text files.

use brasspond_durable::TextFiles;
use bytes::Bytes;
use rstest::rstest;

#[rstest]
fn texts_are_read_by_offset_until_their_file_is_removed() {
    let folder = tempfile::tempdir().expect("folder");
    let mut files = TextFiles::open(folder.path()).expect("opens");
    let texts = [Bytes::from_static(b"one"), Bytes::from_static(b"three")];
    let first = files.write(texts.iter()).expect("written");
    let second = files.write(texts[..1].iter()).expect("written");
    assert_ne!(first, second);
    assert_eq!(files.read(first, 3, 5).expect("read"), texts[1]);
    assert_eq!(files.read(second, 0, 3).expect("read"), texts[0]);
    files.remove(first).expect("removed");
    assert!(files.read(first, 0, 3).is_err());
    assert!(files.read(second, 1, 3).is_err(), "the file is too short");
}

/// Guards against files of earlier processes that accumulate on disk.
#[rstest]
fn files_of_an_earlier_start_are_removed() {
    let folder = tempfile::tempdir().expect("folder");
    let mut files = TextFiles::open(folder.path()).expect("opens");
    let text = [Bytes::from_static(b"text")];
    let file = files.write(text.iter()).expect("written");
    let files = TextFiles::open(folder.path()).expect("opens again");
    assert!(files.read(file, 0, 4).is_err());
}

/// Guards against a full disk that stays full because of texts that were not written completely.
#[rstest]
fn a_file_that_cannot_be_written_completely_is_removed() {
    let folder = tempfile::tempdir().expect("folder");
    let mut files = TextFiles::open(folder.path()).expect("opens");
    let texts = [Bytes::from_static(b"one")];
    let first = folder.path().join("texts/1");
    std::os::unix::fs::symlink("/dev/full", &first).expect("linked");
    let error = files.write(texts.iter()).expect_err("the disk is full");
    assert_eq!(error.kind(), std::io::ErrorKind::StorageFull);
    assert!(first.symlink_metadata().is_err(), "the file remains");
    let file = files.write(texts.iter()).expect("written");
    assert_eq!(files.read(file, 0, 3).expect("read"), texts[0]);
}

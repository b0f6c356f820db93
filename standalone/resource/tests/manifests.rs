//! Manifests: read, written back alike, refused with all findings.

use brasspond_resource::{Kind, object_from_json, object_to_json, parse_manifests};
use rstest::rstest;

const GROUP: &str = "apiVersion: brasspond.dev/v1\nkind: ResearchGroup\nmetadata: {name: cardiff}\n\
    spec: {share: 2, models: [blurbs], maxStaleness: 2, swapPolicy: mid-stream, trainer: cardiff-trainer}\n";
const MODEL: &str = "apiVersion: brasspond.dev/v1\nkind: Model\nmetadata: {name: blurbs}\n\
    spec: {group: cardiff, maxTokens: 4096}\n";

#[rstest]
fn several_manifests_are_read_from_one_file() {
    let objects = parse_manifests("all.yaml", &format!("{GROUP}---\n{MODEL}")).expect("valid");
    let kinds: Vec<Kind> = objects.iter().map(|object| object.key().kind).collect();
    assert_eq!(kinds, [Kind::ResearchGroup, Kind::Model]);
}

#[rstest]
#[case::group(GROUP)]
#[case::model(MODEL)]
fn an_object_comes_back_as_it_was(#[case] text: &str) {
    let object = parse_manifests("one.yaml", text).expect("valid").remove(0);
    let again = object_from_json(&object_to_json(&object)).expect("readable");
    assert_eq!(again, object);
}

/// Two mistakes in two documents are told in one go, with file and line.
#[rstest]
fn all_findings_come_at_once() {
    let share = GROUP.replace("share: 2", "share: lots");
    let tokens = MODEL.replace("maxTokens", "mostTokens");
    let text = format!("{share}---\n{tokens}");
    let findings = parse_manifests("all.yaml", &text).expect_err("refused");
    let told: Vec<String> = findings.iter().map(ToString::to_string).collect();
    for word in ["share", "mostTokens"] {
        assert!(
            told.iter().any(|one| one.contains(word)),
            "{word}: {told:?}"
        );
    }
    assert!(told.iter().all(|one| one.contains("all.yaml")), "{told:?}");
}

#[rstest]
#[case::by_name("ResearchGroup", Some(Kind::ResearchGroup))]
#[case::by_plural("researchgroups", Some(Kind::ResearchGroup))]
#[case::unknown("pods", None)]
fn kinds_are_found_by_the_words_operators_use(#[case] word: &str, #[case] kind: Option<Kind>) {
    assert_eq!(Kind::find(word), kind);
}

//! The tree of settings: inheritance, checks, races and repeated changes.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

use proptest::prelude::*;
use rstest::rstest;
use turmeric_settings::{
    ChangeEdit, ChangeId, ChangeRefusal, SETTING_SPECS, SettingName, SettingsChange, SettingsPath,
    SettingsTree,
};
use turmeric_types::{SettingsVersion, WallTime};

fn path(text: &str) -> SettingsPath {
    text.parse().unwrap()
}

fn edit(place: &str, name: SettingName, value: Option<&str>) -> ChangeEdit {
    ChangeEdit {
        path: path(place),
        name,
        value: value.map(str::to_owned),
    }
}

fn change(id: u128, base: SettingsVersion, edits: Vec<ChangeEdit>) -> SettingsChange {
    SettingsChange {
        id: ChangeId::new(id),
        base,
        author: "ana".to_owned(),
        changed_at: WallTime::from_millis(5),
        edits,
    }
}

fn tree_with(edits: Vec<ChangeEdit>) -> SettingsTree {
    SettingsTree::new()
        .with_change(&change(1, SettingsVersion::default(), edits))
        .unwrap()
}

#[test]
fn a_place_inherits_and_overrides_only_what_differs() {
    let tree = tree_with(vec![
        edit("/", SettingName::QueueLimit, Some("10")),
        edit("/morava/morava-a", SettingName::QueueLimit, Some("20")),
    ]);
    let value = |place| tree.effective(&path(place), SettingName::QueueLimit);
    assert_eq!(value("/attiki").value, "10");
    let below = value("/morava/morava-a/verdikt/w1");
    assert_eq!(below.value, "20");
    assert_eq!(below.source, Some(path("/morava/morava-a")));
    assert_eq!(below.entry.unwrap().author, "ana");
}

#[test]
fn a_place_below_one_out_of_service_is_out_of_service() {
    let tree = tree_with(vec![
        edit("/morava/morava-a", SettingName::InService, Some("false")),
        edit(
            "/morava/morava-a/verdikt",
            SettingName::InService,
            Some("true"),
        ),
    ]);
    assert!(!tree.is_in_service(&path("/morava/morava-a/verdikt/w1")));
    assert!(tree.is_in_service(&path("/morava/morava-b/verdikt/w1")));
}

#[test]
fn a_change_made_again_keeps_its_version() {
    let first = change(
        7,
        SettingsVersion::default(),
        vec![edit("/", SettingName::QueueLimit, Some("5"))],
    );
    let tree = SettingsTree::new().with_change(&first).unwrap();
    let again = tree.with_change(&first);
    assert_eq!(again, Err(ChangeRefusal::Applied(SettingsVersion::new(1))));
}

#[rstest]
#[case("/morava", true)]
#[case("/morava/morava-a", true)]
#[case("/morava/morava-a/verdikt", true)]
#[case("/attiki", false)]
fn the_later_of_two_operators_is_told(#[case] place: &str, #[case] is_raced: bool) {
    let tree = tree_with(vec![edit(
        "/morava/morava-a",
        SettingName::QueueLimit,
        Some("5"),
    )]);
    let later = change(
        2,
        SettingsVersion::default(),
        vec![edit(place, SettingName::QueueLimit, Some("6"))],
    );
    match tree.with_change(&later) {
        Err(ChangeRefusal::Raced(changes)) => {
            assert!(is_raced);
            assert_eq!(changes[0].value.as_deref(), Some("5"));
            assert_eq!(changes[0].author, "ana");
        }
        other => assert!(!is_raced, "{other:?}"),
    }
}

#[test]
fn every_mistake_is_found_at_once_and_nothing_changes() {
    let tree = SettingsTree::new();
    let bad = change(
        3,
        SettingsVersion::new(9),
        vec![
            edit("/", SettingName::QueueLimit, Some("0")),
            edit("/", SettingName::QueueLimit, Some("5")),
            edit(
                "/morava/morava-a",
                SettingName::PlacementPolicy,
                Some("random"),
            ),
            edit("/", SettingName::KeyHomes, Some("here")),
        ],
    );
    let Err(ChangeRefusal::Invalid(findings)) = tree.with_change(&bad) else {
        panic!("the change was taken");
    };
    // The base, the limit, the repetition, the level and the address.
    assert_eq!(findings.iter().count(), 5, "{findings}");
}

#[test]
fn every_default_passes_its_own_check() {
    for spec in SETTING_SPECS {
        let edits = vec![edit("/", spec.name, Some(spec.default))];
        let tree = SettingsTree::new();
        let result = tree.with_change(&change(1, tree.version(), edits));
        assert!(result.is_ok(), "{}: {result:?}", spec.text);
    }
}

fn any_edit() -> impl Strategy<Value = ChangeEdit> {
    let places = prop::sample::select(vec![
        "/",
        "/morava",
        "/morava/morava-a",
        "/morava/morava-a/verdikt",
        "/morava/morava-a/verdikt/w1",
    ]);
    (places, prop::option::of(1..100_u64)).prop_map(|(place, value)| ChangeEdit {
        path: place.parse().unwrap(),
        name: SettingName::QueueLimit,
        value: value.map(|value| value.to_string()),
    })
}

proptest! {
    #[test]
    fn versions_grow_by_one_and_a_reader_of_the_log_sees_the_same(
        edits in proptest::collection::vec((any_edit(), 0..5_u64), 1..40),
    ) {
        let mut tree = SettingsTree::new();
        let mut log = Vec::new();
        for (number, (edit, behind)) in edits.into_iter().enumerate() {
            let base = SettingsVersion::new(tree.version().get().saturating_sub(behind));
            let change = change(number as u128, base, vec![edit]);
            if let Ok(next) = tree.with_change(&change) {
                prop_assert_eq!(next.version(), tree.version().next());
                log.push(change);
                tree = next;
            }
        }
        let mut reader = SettingsTree::new();
        for change in &log {
            reader = reader.with_change(change).unwrap();
        }
        prop_assert_eq!(&reader, &tree);
        let text = serde_json::to_string(&tree).unwrap();
        prop_assert_eq!(serde_json::from_str::<SettingsTree>(&text).unwrap(), tree);
    }

    #[test]
    fn any_text_is_a_path_or_refused(text in ".{0,60}") {
        if let Ok(path) = text.parse::<SettingsPath>() {
            prop_assert_eq!(path.to_string().parse(), Ok(path));
        }
    }
}

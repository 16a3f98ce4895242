//! The settings tree: inheritance, checks, conflicting and retried changes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

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

fn edit(node: &str, name: SettingName, value: Option<&str>) -> ChangeEdit {
    ChangeEdit {
        path: path(node),
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
fn node_inherits_values_that_it_does_not_override() {
    let tree = tree_with(vec![
        edit("/", SettingName::QueueLimit, Some("10")),
        edit("/morava/morava-a", SettingName::QueueLimit, Some("20")),
    ]);
    let value = |node| tree.effective(&path(node), SettingName::QueueLimit);
    assert_eq!(value("/attiki").value, "10");
    let inherited = value("/morava/morava-a/verdikt/w1");
    assert_eq!(inherited.value, "20");
    assert_eq!(inherited.source, Some(path("/morava/morava-a")));
    assert_eq!(inherited.entry.unwrap().author, "ana");
}

#[test]
fn node_below_one_out_of_service_is_out_of_service() {
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
fn retried_change_keeps_its_version() {
    let first = change(
        7,
        SettingsVersion::default(),
        vec![edit("/", SettingName::QueueLimit, Some("5"))],
    );
    let tree = SettingsTree::new().with_change(&first).unwrap();
    let retried = tree.with_change(&first);
    assert_eq!(
        retried,
        Err(ChangeRefusal::AlreadyApplied(SettingsVersion::new(1)))
    );
}

#[rstest]
#[case("/morava", true)]
#[case("/morava/morava-a", true)]
#[case("/morava/morava-a/verdikt", true)]
#[case("/attiki", false)]
fn later_of_two_conflicting_changes_is_refused(#[case] node: &str, #[case] is_conflict: bool) {
    let tree = tree_with(vec![edit(
        "/morava/morava-a",
        SettingName::QueueLimit,
        Some("5"),
    )]);
    let later = change(
        2,
        SettingsVersion::default(),
        vec![edit(node, SettingName::QueueLimit, Some("6"))],
    );
    match tree.with_change(&later) {
        Err(ChangeRefusal::Conflict(changes)) => {
            assert!(is_conflict);
            assert_eq!(changes[0].value.as_deref(), Some("5"));
            assert_eq!(changes[0].author, "ana");
        }
        other => assert!(!is_conflict, "{other:?}"),
    }
}

#[test]
fn all_errors_of_a_change_are_reported_together() {
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
        panic!("the invalid change was applied");
    };
    // The base version, the limit, the repeated value, the level and the address.
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
    let nodes = prop::sample::select(vec![
        "/",
        "/morava",
        "/morava/morava-a",
        "/morava/morava-a/verdikt",
        "/morava/morava-a/verdikt/w1",
    ]);
    (nodes, prop::option::of(1..100_u64)).prop_map(|(node, value)| ChangeEdit {
        path: node.parse().unwrap(),
        name: SettingName::QueueLimit,
        value: value.map(|value| value.to_string()),
    })
}

proptest! {
    #[test]
    fn versions_grow_by_one_and_replaying_the_log_gives_the_same_tree(
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
        let mut replayed = SettingsTree::new();
        for change in &log {
            replayed = replayed.with_change(change).unwrap();
        }
        prop_assert_eq!(&replayed, &tree);
        let text = serde_json::to_string(&tree).unwrap();
        prop_assert_eq!(serde_json::from_str::<SettingsTree>(&text).unwrap(), tree);
    }

    #[test]
    fn any_text_is_a_path_or_rejected(text in ".{0,60}") {
        if let Ok(path) = text.parse::<SettingsPath>() {
            prop_assert_eq!(path.to_string().parse(), Ok(path));
        }
    }
}

use super::*;

#[test]
fn listed_names_exist_in_their_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    assert_eq!(missing_names(&root), Vec::<String>::new());
}

#[test]
fn missing_names_are_reported() {
    let folder = std::env::temp_dir().join(format!("outer-names-{}", std::process::id()));
    let sources = folder.join("core");
    fs::create_dir_all(folder.join("docs/operators")).unwrap();
    fs::create_dir_all(&sources).unwrap();
    let list = "# Names.\n\n[json: core]\nretry_ms\nold_name\n--dry-run\nbox_gone\n";
    fs::write(folder.join(FILE), list).unwrap();
    let code = "// old_name\nstruct Rule { retry_ms: u64, dry_run: bool, very_old_name: u8 }\nenum Event { BoxGone }\n";
    fs::write(sources.join("rule.rs"), code).unwrap();
    let missing = missing_names(&folder);
    fs::remove_dir_all(&folder).unwrap();
    assert_eq!(missing, ["json: old_name"]);
}

use super::*;

#[test]
fn problems_include_file_line_and_allowed_keys() {
    let text = "[box]\nname = a\nname = b\ncolour = red\nlimit = x\n[box]\n";
    let mut document = IniDocument::parse("d.ini", text).unwrap();
    for mut section in document.take_sections() {
        section.take_text("name");
        section.take::<u32>("limit", "a whole number");
        document.close_section(section);
    }
    let report = document.finish().unwrap_err().to_string();
    assert_eq!(
        report,
        "d.ini:3: name is already set at line 2\n\
         d.ini:4: unknown key colour; allowed here: name, limit\n\
         d.ini:5: limit = x: must be a whole number\n\
         d.ini:6: [box] is already at line 1"
    );
}

#[test]
fn syntax_errors_include_the_file_name() {
    let error = IniDocument::parse("d.ini", "[box]\nname\n[x").unwrap_err();
    assert!(error.to_string().starts_with("d.ini:"));
}

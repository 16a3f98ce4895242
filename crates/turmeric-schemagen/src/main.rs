//! Generates the Rust code of the schema, which is committed.
//!
//! `turmeric-schemagen` writes the code; `turmeric-schemagen --check` only
//! compares it with the committed code and fails if the two differ.

use std::fs;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, ensure};

const PROTO_FILES: [&str; 3] = ["control.proto", "job.proto", "record.proto"];
const GENERATED_FILE: &str = "turmeric.v1.rs";

fn main() -> Result<()> {
    let is_check_only = std::env::args().any(|argument| argument == "--check");
    let schema_crate = Path::new(env!("CARGO_MANIFEST_DIR")).join("../turmeric-schema");
    let committed_path = schema_crate.join("src/generated").join(GENERATED_FILE);
    let generated = generate(&schema_crate)?;
    if is_check_only {
        let committed = fs::read_to_string(&committed_path)
            .wrap_err("cannot read the committed code of the schema")?;
        ensure!(
            committed == generated,
            "the committed code differs from the code generated from the schema; run `cargo run -p turmeric-schemagen`"
        );
        println!("the committed code matches the schema");
        return Ok(());
    }
    fs::write(&committed_path, generated).wrap_err("cannot write the generated code of the schema")
}

fn generate(schema_crate: &Path) -> Result<String> {
    let proto_dir = schema_crate.join("proto");
    let descriptors =
        protox::compile(PROTO_FILES, [&proto_dir]).wrap_err("cannot compile the schema")?;
    let output_dir = temporary_directory()?;
    prost_build::Config::new()
        .out_dir(&output_dir)
        .compile_fds(descriptors)
        .wrap_err("cannot generate code from the schema")?;
    let text = fs::read_to_string(output_dir.join(GENERATED_FILE))
        .wrap_err("cannot read the generated code")?;
    fs::remove_dir_all(&output_dir).wrap_err("cannot remove the temporary directory")?;
    Ok(text)
}

fn temporary_directory() -> Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("turmeric-schemagen-{}", std::process::id()));
    fs::create_dir_all(&path).wrap_err("cannot create the temporary directory")?;
    Ok(path)
}

package org.bronzewheel.ctl;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
    @TempDir Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Main.run(args, new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
    }

    private String write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "check",
                "check /nowhere/inventory.yaml",
                "status",
                "status --router here",
                "load --router 127.0.0.1:1 --rate 0",
                "load --router 127.0.0.1:1 --rate many",
                "load --router 127.0.0.1:1 --streamed-percent 101",
                "load --router 127.0.0.1:1 --mix urgent",
                "load --router 127.0.0.1:1 --mix nobody:briefing=1",
                "load --router 127.0.0.1:1 --inventory only-one.yaml",
                "standin --router-vm vm-1",
                "demo --seed soon",
                "explain --pipeline briefing --class urgent",
                "explain --pipeline nothing --class urgent --workspace crew",
                "explain --pipeline briefing --class urgent --workspace crew --load engine-1=x",
                "measure nothing",
                "measure --seed soon",
                "check --unknown"
            })
    void wrongUsageExits2WithOneLine(String commandLine) {
        assertThat(run(commandLine.split(" ", -1))).isEqualTo(2);
        assertThat(err.toString(UTF_8).lines().count()).isEqualTo(1);
        assertThat(out.toString(UTF_8)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"check", "explain", "status", "demo", "load", "measure", "standin"})
    void eachCommandHasHelp(String command) {
        assertThat(run(command, "--help")).isEqualTo(0);
        assertThat(out.toString(UTF_8)).contains("Usage");
        assertThat(err.toString(UTF_8)).isEmpty();
    }

    @Test
    void theHelpNamesEachCommand() {
        assertThat(run("--help")).isEqualTo(0);
        assertThat(out.toString(UTF_8)).contains("standin");
        assertThat(run()).isEqualTo(2);
    }

    @Test
    void theEmbeddedFilesAreAcceptedInAnyOrder() throws IOException {
        String inventory = write("i.yaml", Documents.embedded().inventoryText());
        String rules = write("r.yaml", Documents.embedded().rulesText());
        assertThat(run("check", rules, inventory)).isEqualTo(0);
        assertThat(run("check", inventory)).isEqualTo(0);
        assertThat(run("check", rules)).isEqualTo(2);
        assertThat(run("check", inventory, inventory)).isEqualTo(2);
    }

    @Test
    void aRefusedFileIsNamedWithItsPosition() throws IOException {
        String inventory = write("i.yaml", Documents.embedded().inventoryText());
        String rules =
                write(
                        "r.yaml",
                        Documents.embedded().rulesText().replace("pool: booking", "pool: boking"));
        assertThat(run("check", inventory, rules)).isEqualTo(1);
        assertThat(out.toString(UTF_8))
                .containsMatch("r\\.yaml:\\d+:\\d+: .*boking.*expected the name of a pool");
    }

    @Test
    void anExplanationNamesBudgetOrderAndReasons() {
        int status =
                run(
                        "explain --pipeline voucher --class interactive --workspace crew"
                                .concat(" --failure-domain north-b --leaving engine-3")
                                .concat(" --load engine-1=16 --took generate=100")
                                .concat(" --took confirm=50")
                                .split(" ", -1));
        String text = out.toString(UTF_8);
        assertThat(status).isEqualTo(0);
        assertThat(text).contains("admission: admitted");
        assertThat(text).contains("budget: 1982 ms of 3000 ms");
        assertThat(text).contains("worker 1: engine-2 (load 0.0 of 8, north-b, own failure domain");
        assertThat(text).contains("left out: engine-3 (leaving)");
        assertThat(text).contains("worker 2: engine-1 (load 16.0 of 8, north-a)");
        assertThat(text).contains("repeated: after NOT_RUN only");
    }

    @Test
    void aRequestThatCannotBeInTimeIsExplainedAsRefused() {
        run(
                "explain --pipeline landing --class urgent --workspace crew --took call=1600"
                        .split(" ", -1));
        assertThat(out.toString(UTF_8)).contains("admission: refused with DEADLINE_TOO_SHORT");
    }

    @Test
    void theExperimentsAreListed() {
        assertThat(run("measure")).isEqualTo(0);
        assertThat(out.toString(UTF_8)).contains("load");
    }

    @Test
    void aRouterThatCannotBeReadMakesTheStatusFail() {
        assertThat(run("status", "--router", "127.0.0.1:1")).isEqualTo(1);
        assertThat(err.toString(UTF_8)).contains("127.0.0.1:1");
    }
}

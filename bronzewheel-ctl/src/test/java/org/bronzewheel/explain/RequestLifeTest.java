package org.bronzewheel.explain;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class RequestLifeTest {
    private final RequestLife life = new RequestLife("id1");

    private static String line(String time, String vmId, String message) {
        return "{\"time\":\"2026-01-01T00:00:%sZ\",\"level\":\"INFO\",\"vmId\":\"%s\",\"message\":\"%s\"}"
                .formatted(time, vmId, message);
    }

    @Test
    void theLinesOfARequestAreToldInOrderAcrossRouters() {
        life.read(
                Stream.of(
                        line("02.500", "b", "ENDED request=id1 end=ANSWERED"),
                        line("01.000", "a", "ADMITTED request=id1"),
                        line("01.100", "a", "ADMITTED request=id12"),
                        line("01.200", "c", "stage owner lost: request=id1 reason=silent")));
        List<String> lines = life.describe(false);
        assertThat(lines).hasSize(3);
        assertThat(lines.get(0)).contains("+0 ms  a   ADMITTED");
        assertThat(lines.get(1)).contains("+200 ms  c");
        assertThat(lines.get(2)).contains("+1500 ms  b   ENDED");
    }

    @Test
    void theRequestIdMayBeAFieldOfTheLine() {
        life.read(
                Stream.of(
                        "{\"time\":\"2026-01-01T00:00:00Z\",\"vmId\":\"a\",\"requestId\":\"id1\","
                                + "\"message\":\"m\"}"));
        assertThat(life.isKnown()).isTrue();
    }

    @Test
    void whatARouterBelievedMeanwhileIsAddedWhereAskedFor() {
        life.read(
                Stream.of(
                        line("05.000", "a", "ADMITTED request=id1"),
                        line("05.500", "a", "upstream gone: id=u"),
                        line("05.500", "b", "upstream gone: id=v"),
                        line("02.000", "a", "upstream gone: id=w"),
                        line("06.000", "a", "ENDED request=id1")));
        assertThat(life.describe(false)).hasSize(2);
        List<String> lines = life.describe(true);
        assertThat(lines).hasSize(3);
        assertThat(lines.get(1)).contains("a * upstream gone: id=u");
    }

    @Test
    void whatIsNoLogLineIsSkippedAndCounted() {
        life.read(
                Stream.of(
                        "plain text",
                        "{\"time\":\"yesterday\",\"message\":\"m\"}",
                        "{\"half",
                        "",
                        "  12.5 vm-1 " + line("01.000", "a", "ADMITTED request=id1")));
        assertThat(life.unreadableLines()).isEqualTo(3);
        assertThat(life.describe(false)).hasSize(1);
    }

    @Test
    void aRequestThatNoLineNamesIsNotKnown() {
        life.read(Stream.of(line("01.000", "a", "ADMITTED request=id2")));
        assertThat(life.isKnown()).isFalse();
        assertThat(life.describe(true)).isEmpty();
    }
}

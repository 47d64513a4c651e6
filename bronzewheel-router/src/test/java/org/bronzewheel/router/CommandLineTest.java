package org.bronzewheel.router;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CommandLineTest {
    private static final Map<String, String> NO_ENVIRONMENT = Map.of();
    private static final List<String> REQUIRED =
            List.of(
                    "--vm-id",
                    "vm-1",
                    "--failure-domain",
                    "fd-1",
                    "--configuration-address",
                    "10.0.0.1:80",
                    "--vm-list-address",
                    "10.0.0.1:81");

    private static RouterSettings settings(Map<String, String> environment, String... more) {
        List<String> arguments = new ArrayList<>(REQUIRED);
        arguments.addAll(List.of(more));
        return CommandLine.parse(arguments.toArray(new String[0]), environment::get).toSettings();
    }

    @Test
    void settingsComeFromFlags() {
        RouterSettings settings = settings(NO_ENVIRONMENT, "--http-port", "9000");

        assertThat(settings.vmId()).isEqualTo("vm-1");
        assertThat(settings.httpPort()).isEqualTo(9_000);
        assertThat(settings.peerPort()).isEqualTo(8_081);
    }

    @Test
    void settingsComeFromTheEnvironmentWhereAFlagIsMissing() {
        Map<String, String> environment =
                Map.of("BRONZEWHEEL_HTTP_PORT", "9001", "BRONZEWHEEL_PEER_PORT", "9002");

        RouterSettings settings = settings(environment, "--http-port", "9000");

        assertThat(settings.httpPort()).isEqualTo(9_000);
        assertThat(settings.peerPort()).isEqualTo(9_002);
    }

    static Stream<List<String>> wrongSettings() {
        return Stream.of(
                List.of("--http-port", "70000"),
                List.of("--http-port", "x"),
                List.of("--host", "localhost"),
                List.of("--log-level", "LOUD"),
                List.of("--load-poll-millis", "0"),
                List.of("--balancer-wait-millis", "-1"),
                List.of("--event-loops", "0"),
                List.of("--unknown", "1"));
    }

    @ParameterizedTest
    @MethodSource("wrongSettings")
    void aWrongSettingIsNamedInOneLine(List<String> wrong) {
        BronzewheelException error =
                assertThrows(
                        BronzewheelException.class,
                        () -> settings(NO_ENVIRONMENT, wrong.toArray(new String[0])));

        assertThat(error.code()).isEqualTo(ErrorCode.INVALID_SETTING);
        assertThat(error.getMessage()).contains(wrong.get(0));
        assertThat(error.getMessage().lines().count()).isEqualTo(1);
    }

    @Test
    void aMissingSettingIsNamed() {
        BronzewheelException error =
                assertThrows(
                        BronzewheelException.class,
                        () ->
                                CommandLine.parse(
                                                new String[] {"--vm-id", "a"}, NO_ENVIRONMENT::get)
                                        .toSettings());

        assertThat(error.getMessage()).startsWith("--failure-domain is ''");
    }
}

package org.bronzewheel.error;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class ErrorCodePageTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `([A-Z_]+)` \\| ");

    @Test
    void operationsPageListsExactlyTheErrorCodesInOrder() throws IOException {
        List<String> documented =
                ROW.matcher(Files.readString(PAGE))
                        .results()
                        .map((MatchResult row) -> row.group(1))
                        .toList();

        assertThat(documented)
                .containsExactlyElementsIn(
                        Arrays.stream(ErrorCode.values()).map(ErrorCode::name).toList())
                .inOrder();
    }
}

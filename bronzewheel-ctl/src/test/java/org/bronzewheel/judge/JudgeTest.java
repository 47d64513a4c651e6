package org.bronzewheel.judge;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.ctl.Documents;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.Usage;
import org.bronzewheel.standin.ExpectedAnswers;
import org.bronzewheel.standin.Run;
import org.bronzewheel.standin.RunState;
import org.bronzewheel.traffic.PlannedRequest;
import org.bronzewheel.traffic.Reply;
import org.bronzewheel.traffic.ReplyKind;
import org.bronzewheel.traffic.RequestResult;
import org.bronzewheel.traffic.SendLine;
import org.bronzewheel.traffic.TokenPiece;
import org.bronzewheel.traffic.TrafficKind;
import org.junit.jupiter.api.Test;

class JudgeTest {
    private static final String ROUTER = "127.0.0.1:1";
    private static final long DEADLINE_MILLIS = 1_000;

    private final Configuration configuration =
            new ConfigurationParser().parse(Documents.embedded());
    private final List<Run> runs = new ArrayList<>();

    private static PlannedRequest request(String pipeline, String key) {
        JsonNode input = JsonNodeFactory.instance.objectNode().put("topic", "t").put("nonce", "n1");
        return new PlannedRequest(
                0,
                new TrafficKind("urgent", pipeline, 1),
                "crew",
                "n1",
                input,
                key,
                false,
                false,
                configurationOf(pipeline),
                DEADLINE_MILLIS);
    }

    private static boolean configurationOf(String pipeline) {
        return !List.of("landing", "voucher", "notice").contains(pipeline);
    }

    private JsonNode expected(PlannedRequest request) {
        return ExpectedAnswers.answer(
                configuration.inventory(),
                configuration.rules().pipeline(request.kind().pipeline()).orElseThrow(),
                request.input());
    }

    private static Reply answered(String requestId, JsonNode answer, TokenPiece... pieces) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("requestId", requestId);
        body.set("answer", answer);
        return new Reply(
                ROUTER,
                ReplyKind.COMPLETE,
                Outcome.ANSWERED,
                "",
                requestId,
                body,
                List.of(pieces),
                0);
    }

    private static Reply ended(String requestId, Outcome outcome) {
        return new Reply(
                ROUTER,
                ReplyKind.COMPLETE,
                outcome,
                "CODE",
                requestId,
                JsonNodeFactory.instance.objectNode(),
                List.of(),
                0);
    }

    private static SendLine line(long latencyMillis, Reply... replies) {
        return new SendLine(List.of(replies), latencyMillis);
    }

    private void ran(String attemptId, String workspace) {
        String requestId = attemptId.substring(0, attemptId.indexOf('/'));
        runs.add(
                new Run(
                        "booking",
                        "booking-1",
                        attemptId,
                        requestId,
                        workspace,
                        "",
                        "n1",
                        "d",
                        false,
                        1,
                        2,
                        RunState.FINISHED,
                        new Usage(0, 0, 5)));
    }

    private Verdict judge(PlannedRequest request, SendLine... lines) {
        return new Judge(configuration)
                .judge(List.of(new RequestResult(request, List.of(lines))), runs);
    }

    @Test
    void aWholeAnswerInTimeIsClean() {
        PlannedRequest request = request("landing", "k");
        ran("vm-1.a.1/0/1", "crew");
        Verdict verdict = judge(request, line(10, answered("vm-1.a.1", expected(request))));
        assertThat(verdict.violations()).isEmpty();
        assertThat(verdict.total().isClean()).isTrue();
        assertThat(verdict.total().answered()).isEqualTo(1);
        assertThat(verdict.byClass().get("urgent").attainment()).isEqualTo(1.0);
        assertThat(verdict.cost().get("call").workerMillis()).isEqualTo(5);
    }

    @Test
    void aLateAnswerIsAnsweredAndNotInTime() {
        PlannedRequest request = request("landing", "");
        Verdict verdict =
                judge(request, line(DEADLINE_MILLIS + 1, answered("r", expected(request))));
        assertThat(verdict.total().answered()).isEqualTo(1);
        assertThat(verdict.total().attainment()).isEqualTo(0.0);
    }

    @Test
    void anIncompleteAnswerIsLost() {
        PlannedRequest request = request("briefing", "");
        String text = expected(request).path("text").asText();
        JsonNode cut =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("text", text.substring(0, text.length() - 3));
        Verdict verdict = judge(request, line(10, answered("r", cut)));
        assertThat(verdict.total().lost()).isEqualTo(1);
        assertThat(verdict.total().answered()).isEqualTo(0);
        assertThat(verdict.total().isClean()).isFalse();
    }

    @Test
    void silenceAndRepliesWithoutOutcomeAreLost() {
        PlannedRequest request = request("briefing", "");
        for (ReplyKind kind : List.of(ReplyKind.SILENT, ReplyKind.COMPLETE)) {
            Verdict verdict = judge(request, line(10, Reply.withoutOutcome(ROUTER, kind, "")));
            assertThat(verdict.total().lost()).isEqualTo(1);
        }
    }

    @Test
    void theAnswerOfAnotherRequestIsMisrouted() {
        PlannedRequest request = request("landing", "");
        JsonNode other =
                ExpectedAnswers.serviceOutput(
                        "/landings", JsonNodeFactory.instance.objectNode().put("nonce", "n2"));
        Verdict verdict = judge(request, line(10, answered("r", other)));
        assertThat(verdict.total().misrouted()).isEqualTo(1);
        assertThat(verdict.total().lost()).isEqualTo(0);
        assertThat(verdict.total().answered()).isEqualTo(0);
    }

    @Test
    void aRunForAnotherWorkspaceIsMisrouted() {
        PlannedRequest request = request("landing", "");
        ran("vm-1.a.1/0/1", "gift-shop");
        Verdict verdict = judge(request, line(10, answered("vm-1.a.1", expected(request))));
        assertThat(verdict.total().misrouted()).isEqualTo(1);
    }

    @Test
    void twoDifferentAnswersUnderOneKeyAreDoubled() {
        PlannedRequest request = request("lookup", "k");
        JsonNode answer = expected(request);
        Verdict same =
                judge(request, line(1, answered("r1", answer)), line(1, answered("r1", answer)));
        Verdict different =
                judge(request, line(1, answered("r1", answer)), line(1, answered("r2", answer)));
        assertThat(same.total().doubled()).isEqualTo(0);
        assertThat(different.total().doubled()).isEqualTo(1);
    }

    @Test
    void twoRequestsThatRanUnderOneKeyAreDoubled() {
        PlannedRequest request = request("lookup", "k");
        ran("vm-1.a.1/0/1", "crew");
        ran("vm-2.b.1/0/1", "crew");
        Verdict verdict = judge(request, line(10, answered("vm-1.a.1", expected(request))));
        assertThat(verdict.total().doubled()).isEqualTo(1);
    }

    @Test
    void aSecondRunOfANonIdempotentStageCountsOverOne() {
        PlannedRequest request = request("landing", "");
        ran("vm-1.a.1/0/1", "crew");
        ran("vm-1.a.1/0/2", "crew");
        Verdict verdict = judge(request, line(10, answered("vm-1.a.1", expected(request))));
        assertThat(verdict.total().nonIdempotentRunsOverOne()).isEqualTo(1);
        assertThat(verdict.total().isClean()).isFalse();
    }

    @Test
    void aSecondRunOfAnIdempotentStageIsAllowed() {
        PlannedRequest request = request("lookup", "");
        ran("vm-1.a.1/0/1", "crew");
        ran("vm-1.a.1/0/2", "crew");
        Verdict verdict = judge(request, line(10, answered("vm-1.a.1", expected(request))));
        assertThat(verdict.violations()).isEmpty();
    }

    @Test
    void aRequestSaidNotToHaveRunMustNotHaveRun() {
        PlannedRequest request = request("landing", "");
        assertThat(judge(request, line(1, ended("vm-1.a.1", Outcome.NOT_RUN))).total().notRun())
                .isEqualTo(1);
        ran("vm-1.a.1/0/1", "crew");
        Verdict verdict = judge(request, line(1, ended("vm-1.a.1", Outcome.NOT_RUN)));
        assertThat(verdict.total().notRunButRan()).isEqualTo(1);
        assertThat(verdict.total().isClean()).isFalse();
    }

    @Test
    void brokenConnectionsAreUnknownEvenIfALaterSendDidNotRun() {
        PlannedRequest request = request("landing", "k");
        Reply broken = Reply.withoutOutcome(ROUTER, ReplyKind.BROKEN, "");
        assertThat(judge(request, line(1, broken)).total().unknown()).isEqualTo(1);
        Verdict verdict = judge(request, line(1, broken, ended("r", Outcome.NOT_RUN)));
        assertThat(verdict.total().unknown()).isEqualTo(1);
        assertThat(verdict.total().isClean()).isTrue();
    }

    @Test
    void repeatedTokensAreDoubledAndMissingOnesLost() {
        PlannedRequest request = request("briefing", "");
        JsonNode answer = expected(request);
        List<String> parts = List.of(answer.path("text").asText().split("(?= )", -1));
        TokenPiece first = new TokenPiece(0, parts.get(0) + parts.get(1));
        TokenPiece rest = new TokenPiece(2, String.join("", parts.subList(2, parts.size())));
        assertThat(judge(request, line(1, answered("r", answer, first, rest))).violations())
                .isEmpty();
        assertThat(
                        judge(request, line(1, answered("r", answer, first, first, rest)))
                                .total()
                                .doubled())
                .isEqualTo(1);
        assertThat(judge(request, line(1, answered("r", answer, rest))).total().lost())
                .isEqualTo(1);
        assertThat(judge(request, line(1, answered("r", answer, first))).total().lost())
                .isEqualTo(1);
    }

    @Test
    void piecesThatAreCutShortAreToldFromPiecesOfAnotherText() {
        PlannedRequest request = request("briefing", "");
        JsonNode answer = expected(request);
        List<String> parts = List.of(answer.path("text").asText().split("(?= )", -1));
        TokenPiece first = new TokenPiece(0, parts.get(0) + parts.get(1));
        TokenPiece other = new TokenPiece(2, " other");
        String cut = judge(request, line(1, answered("r", answer, first))).violations().toString();
        String mixed =
                judge(request, line(1, answered("r", answer, first, other)))
                        .violations()
                        .toString();
        assertThat(cut).contains("they end after 2 tokens");
        assertThat(mixed).contains("they differ from character");
    }
}

package org.bronzewheel.architecture;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks the table of modules in DEVELOPERS.md and the purity of the parts that decide. */
class ModulesTest {
    private static final Pattern MODULE = Pattern.compile("/bronzewheel-([a-z]+)[/-]");
    private static final String OWN = "org.bronzewheel.";
    private static final Set<String> LIBRARY =
            Set.of("model", "decision", "wire", "fleet", "serving");
    private static final Map<String, Set<String>> MAY_USE =
            Map.ofEntries(
                    Map.entry("model", Set.of()),
                    Map.entry("decision", Set.of("model")),
                    Map.entry("wire", Set.of()),
                    Map.entry("fleet", Set.of("model", "wire")),
                    Map.entry("http", Set.of("model")),
                    Map.entry("serving", Set.of("model", "decision", "wire", "fleet")),
                    Map.entry("upstream", Set.of("model")),
                    Map.entry(
                            "router",
                            Set.of(
                                    "model",
                                    "decision",
                                    "wire",
                                    "fleet",
                                    "http",
                                    "serving",
                                    "upstream")),
                    Map.entry("standin", Set.of("model", "fleet")),
                    Map.entry(
                            "measure", Set.of("model", "decision", "fleet", "serving", "standin")),
                    Map.entry(
                            "ctl",
                            Set.of(
                                    "model",
                                    "decision",
                                    "wire",
                                    "fleet",
                                    "http",
                                    "serving",
                                    "upstream",
                                    "router",
                                    "standin",
                                    "measure")));

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.bronzewheel");

    /** Policies, and the state machines of the fleet with all that is nested in them. */
    private static final DescribedPredicate<JavaClass> PURE =
            DescribedPredicate.describe(
                    "policies and state machines",
                    c -> module(c).equals("decision") || isStateMachine(c));

    private static boolean isStateMachine(JavaClass javaClass) {
        String outermost = javaClass.getName().replaceAll("\\$.*", "");
        return module(javaClass).equals("fleet") && outermost.endsWith("Machine");
    }

    private static String module(JavaClass javaClass) {
        return javaClass
                .getSource()
                .map(source -> MODULE.matcher(lastModulePart(source.getUri().toString())))
                .filter(Matcher::find)
                .map(matcher -> matcher.group(1))
                .orElse("");
    }

    /** Cuts off folders above the workspace, which may be called like a module. */
    private static String lastModulePart(String uri) {
        return uri.substring(Math.max(0, uri.lastIndexOf("/bronzewheel-")));
    }

    private static ArchCondition<JavaClass> keepToTheTable() {
        return new ArchCondition<>("depend only on modules that the table allows") {
            @Override
            public void check(JavaClass javaClass, ConditionEvents events) {
                for (Dependency dependency : javaClass.getDirectDependenciesFromSelf()) {
                    if (!isAllowed(dependency)) {
                        events.add(
                                SimpleConditionEvent.violated(
                                        dependency, dependency.getDescription()));
                    }
                }
            }
        };
    }

    private static boolean isAllowed(Dependency dependency) {
        JavaClass target = dependency.getTargetClass().getBaseComponentType();
        String from = module(dependency.getOriginClass());
        String to = module(target);
        return !target.getName().startsWith(OWN)
                || to.equals(from)
                || MAY_USE.getOrDefault(from, Set.of()).contains(to);
    }

    @Test
    void modulesDependOnlyAsTheTableSays() {
        classes().should(keepToTheTable()).check(CLASSES);
    }

    @Test
    void eachModuleOfTheTableIsFound() {
        for (String module : MAY_USE.keySet()) {
            assertThat(CLASSES.stream().anyMatch(c -> module(c).equals(module))).isTrue();
        }
    }

    @Test
    void policiesAndStateMachinesReadNoClockAndDrawNoRandomness() {
        noClasses()
                .that(PURE)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.time\\.Clock|java\\.util\\.concurrent\\.ThreadLocalRandom"
                                + "|java\\.security\\.SecureRandom")
                .check(CLASSES);
    }

    @Test
    void policiesAndStateMachinesUseNoThreadsSocketsOrReactiveStreams() {
        noClasses()
                .that(PURE)
                .should()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.lang\\.Thread|java\\.net\\..*|java\\.nio\\.channels\\..*"
                                + "|java\\.util\\.Timer|java\\.util\\.concurrent\\.(Execut.*"
                                + "|Scheduled.*|ForkJoin.*|CompletableFuture|Future|locks\\..*)"
                                + "|io\\.reactivex\\..*|io\\.netty\\..*|io\\.vertx\\..*")
                .check(CLASSES);
    }

    @Test
    void theLibraryUsesNoHttpAndNoCommandLine() {
        noClasses()
                .that(
                        DescribedPredicate.describe(
                                "library modules", c -> LIBRARY.contains(module(c))))
                .should()
                .dependOnClassesThat()
                .haveNameMatching("io\\.vertx\\..*|com\\.beust\\..*")
                .check(CLASSES);
    }

    @Test
    void nothingStartsAnotherProcess() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.lang\\.ProcessBuilder")
                .orShould()
                .callMethod(Runtime.class, "exec", String[].class)
                .check(CLASSES);
    }
}

package wardmux.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption

/** The compiled classes of `src/main`, imported once for all tests that examine them. */
internal object ProductionClasses {
    const val ROOT_PACKAGE = "wardmux"

    val all: JavaClasses =
        ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages(ROOT_PACKAGE)
}
